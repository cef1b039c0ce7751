  (trouble (kind router-kill) (at 4s) (for 3s) (target r2))
