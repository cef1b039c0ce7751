  (trouble (kind hot-caller) (at 4s) (for 30s) (target r1) (factor 0.6))
