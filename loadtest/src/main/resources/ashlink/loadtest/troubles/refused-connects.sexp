  (trouble (kind refuse) (at 4s) (for 6s) (target q2))
