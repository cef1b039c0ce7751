  (trouble (kind crash) (at 4s) (for 3s) (target q1))
  (trouble (kind crash) (at 5s) (for 3s) (target q5))
