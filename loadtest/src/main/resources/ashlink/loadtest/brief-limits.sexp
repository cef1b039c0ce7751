; Default policy limits, for scenarios without limits of their own.
  (limits (drain-grace 2s) (cold-from 0.35) (cold-time 14s) (cold-multiple 2.5) (cold-window 3s) (key-rest 300ms))
