  (trouble (kind lost-answers) (at 3s) (for 12s) (target q4) (factor 0.3))
  (trouble (kind lost-answers) (at 3s) (for 12s) (target q7) (factor 0.3))
