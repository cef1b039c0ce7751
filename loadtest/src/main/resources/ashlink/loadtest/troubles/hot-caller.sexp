  (trouble (kind hot-caller) (at 4s) (for 12s) (target r1) (factor 0.8))
