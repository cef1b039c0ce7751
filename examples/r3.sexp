; Router 3 of 3, in zone halle-3. Validate: ./ashlink check examples/r3.sexp
(router (name r3) (zone halle-3) (gateways 3) (position 2) (seed 3)
  (listen (native 127.0.0.1:9003) (metrics 127.0.0.1:9203))
  (state-dir "var/r3")
  (zones halle-1 halle-2 halle-3)
  (kind typ-a (cores 8) (memory 16GiB))
  (kind typ-b (cores 8) (memory 16GiB))

  (class abfrage (worth 1) (aim 500ms) (aim-stretch 1.5) (deadline 2500ms) (repeat safe) (late-share 0.1)
    (threads 1) (waits-for-tables yes))
  (class bericht (worth 12) (aim 1500ms) (aim-stretch 2.5) (deadline 20s) (repeat safe) (late-share 0.4)
    (threads 4) (waits-for-tables yes) (only-kinds typ-a))
  (class ladung (worth 10) (aim 3s) (aim-stretch 3) (deadline 25s) (repeat never) (late-share 0.5)
    (threads 2) (holds-tables yes) (in-order yes))

  (rule (class ladung) (keyword insert))
  (rule (class bericht) (setting ashlink_class) (value bericht))
  (rule (class bericht) (user billing))
  (default-class abfrage)
  (default-write-class ladung)

  (user default)
  (user portal)
  (user billing)

  (allowed (probes yes) (cancels no) (attempts 4) (longest-retry-after 500ms) (memory-queues yes) (largest-grant 0.4))
  (gauges
    (waiting QueriesWaiting QueriesWaitingPermille/1000)
    (memory-granted MemoryGranted MemoryGrantedPermille/1000)
    (uptime-s Uptime))
  (limits (drain-grace 2s) (cold-from 0.35) (cold-time 14s) (cold-multiple 2.5) (cold-window 3s) (key-rest 300ms))

  (engine q1 (address 127.0.0.1:9101) (zone halle-1) (kind typ-a))
  (engine q2 (address 127.0.0.1:9102) (zone halle-1) (kind typ-b))
  (engine q3 (address 127.0.0.1:9103) (zone halle-2) (kind typ-a))
  (engine q4 (address 127.0.0.1:9104) (zone halle-2) (kind typ-b))
  (engine q5 (address 127.0.0.1:9105) (zone halle-3) (kind typ-a))
  (engine q6 (address 127.0.0.1:9106) (zone halle-3) (kind typ-b))

  (bounds (connections 20000) (open-requests 10000) (held-answer 1MiB) (held-insert 64MiB) (stop 10s)))
