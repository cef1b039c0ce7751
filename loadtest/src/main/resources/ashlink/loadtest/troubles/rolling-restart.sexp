  (trouble (kind router-kill) (at 3s) (for 1500ms) (target r1))
  (trouble (kind router-kill) (at 7s) (for 1500ms) (target r2))
  (trouble (kind router-kill) (at 11s) (for 1500ms) (target r3))
