  (trouble (kind hang) (at 4s) (for 8s) (target q3))
