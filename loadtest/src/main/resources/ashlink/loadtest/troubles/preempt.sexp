  (trouble (kind drain) (at 4s) (for 2s) (target q1))
  (trouble (kind crash) (at 5s) (for 6s) (target q1))
  (trouble (kind drain) (at 6s) (for 2s) (target q5))
  (trouble (kind crash) (at 7s) (for 6s) (target q5))
