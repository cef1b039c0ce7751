  (trouble (kind hot-group) (at 4s) (for 10s) (factor 0.3))
