; Template of the scenarios with one kind of fault: the fleet and load of the default scenario for 20 s, 70 queries
; per second. The scenario's name and faults are inserted by FaultCatalog.
(day (name NAME) (duration 20s) (seed 1) (rate 70/s)
  (router r1 (zone halle-1)) (router r2 (zone halle-2)) (router r3 (zone halle-3))

  (engine q1 (zone halle-1) (kind typ-a) (cold-time 6s) (fall-multiple 2.5) (heeds-cancel no))
  (engine q2 (zone halle-1) (kind typ-b) (cold-time 6s) (fall-multiple 2.5) (heeds-cancel no))
  (engine q3 (zone halle-1) (kind typ-a) (cold-time 6s) (fall-multiple 2.5) (heeds-cancel no))
  (engine q4 (zone halle-2) (kind typ-a) (cold-time 6s) (fall-multiple 2.5) (heeds-cancel no))
  (engine q5 (zone halle-2) (kind typ-b) (cold-time 6s) (fall-multiple 2.5) (heeds-cancel no))
  (engine q6 (zone halle-2) (kind typ-a) (cold-time 6s) (fall-multiple 2.5) (heeds-cancel no))
  (engine q7 (zone halle-3) (kind typ-a) (cold-time 6s) (fall-multiple 2.5) (heeds-cancel no))
  (engine q8 (zone halle-3) (kind typ-b) (cold-time 6s) (fall-multiple 2.5) (heeds-cancel no))

  (load abfrage (share 0.805) (work 80ms) (threads 1) (io 0.27) (memory 500MiB) (timeout 2500ms) (user portal)
    (retries 1) (wait 100ms) (groups 16))
  (load bericht (share 0.14) (work 2300ms) (threads 4) (io 0.5) (memory 5000MiB) (timeout 20s) (user billing)
    (retries 1) (wait 500ms) (groups 16))
  (load ladung (share 0.055) (work 2100ms) (threads 2) (io 0.5) (memory 2500MiB) (timeout 25s) (user portal) (write yes)
    (retries 1) (wait 500ms) (groups 16) (keys 6))

TROUBLES
  (settings "(limits (drain-grace 2s) (cold-from 0.35) (cold-time 6s) (cold-multiple 2.5) (cold-window 3s)
    (key-rest 300ms) (free-resends 5) (resends-per-request 0.2) (resend-span 10s))"))
