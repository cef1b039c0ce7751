  (trouble (kind hall-lost) (at 4s) (for 6s) (target halle-3))
