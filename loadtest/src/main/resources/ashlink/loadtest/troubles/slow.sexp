  (trouble (kind slow) (at 4s) (for 10s) (target q6) (factor 0.3))
