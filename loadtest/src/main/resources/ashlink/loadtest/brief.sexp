; Settings that all routers of a test fleet share: three zones, kinds, classes, rules and users. The name, zone,
; addresses and engines of a router are added to them.
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
