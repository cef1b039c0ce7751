  (trouble (kind burst) (at 5s) (for 6s) (factor 2))
