; The default scenario: three routers and eight engines in three zones under a mixed load, with overlapping faults.
; Scaled to one machine: 80 queries per second (the target fleet has about 100) and query work at the lower end of
; its ranges. The engines are emulated, so their cores use no CPU of this machine.
(day (name bad-day) (duration 60s) (seed 1) (rate 80/s)
  (router r1 (zone halle-1)) (router r2 (zone halle-2)) (router r3 (zone halle-3))

  (engine q1 (zone halle-1) (kind typ-a) (cold-time 14s) (fall-multiple 2.5) (heeds-cancel no))
  (engine q2 (zone halle-1) (kind typ-b) (cold-time 14s) (fall-multiple 2.5) (heeds-cancel no))
  (engine q3 (zone halle-1) (kind typ-a) (cold-time 14s) (fall-multiple 2.5) (heeds-cancel no))
  (engine q4 (zone halle-2) (kind typ-a) (cold-time 14s) (fall-multiple 2.5) (heeds-cancel no))
  (engine q5 (zone halle-2) (kind typ-b) (cold-time 14s) (fall-multiple 2.5) (heeds-cancel no))
  (engine q6 (zone halle-2) (kind typ-a) (cold-time 14s) (fall-multiple 2.5) (heeds-cancel no))
  (engine q7 (zone halle-3) (kind typ-a) (cold-time 14s) (fall-multiple 2.5) (heeds-cancel no))
  (engine q8 (zone halle-3) (kind typ-b) (cold-time 14s) (fall-multiple 2.5) (heeds-cancel no))

  (load abfrage (share 0.805) (work 80ms) (threads 1) (io 0.27) (memory 500MiB) (timeout 2500ms) (user portal)
    (retries 1) (wait 100ms) (groups 16))
  (load bericht (share 0.14) (work 2300ms) (threads 4) (io 0.5) (memory 5000MiB) (timeout 20s) (user billing)
    (retries 1) (wait 500ms) (groups 16))
  (load ladung (share 0.055) (work 2100ms) (threads 2) (io 0.5) (memory 2500MiB) (timeout 25s) (user portal) (write yes)
    (retries 1) (wait 500ms) (groups 16) (keys 6))

  (trouble (kind hang) (at 6s) (for 8s) (target q3))
  (trouble (kind slow) (at 8s) (for 10s) (target q6) (factor 0.3))
  (trouble (kind drain) (at 16s) (for 8s) (target q1))
  (trouble (kind crash) (at 20s) (for 4s) (target q5))
  (trouble (kind router-kill) (at 24s) (for 3s) (target r2))
  (trouble (kind hall-lost) (at 30s) (for 10s) (target halle-3))
  (trouble (kind lost-answers) (at 44s) (for 8s) (target q4) (factor 0.3))
  (trouble (kind burst) (at 50s) (for 5s) (factor 2))

  (settings "(limits (drain-grace 2s) (cold-from 0.35) (cold-time 14s) (cold-multiple 2.5) (cold-window 3s)
    (key-rest 300ms) (free-resends 5) (resends-per-request 0.2) (resend-span 10s))"))
