  (trouble (kind age) (at 2s) (for 12s) (target q4) (factor 0.1))
  (trouble (kind crash) (at 14s) (for 2s) (target q4))
