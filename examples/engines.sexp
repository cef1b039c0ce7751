; Emulated engines for the routers of examples/r1.sexp to r3.sexp. Start: ./ashlink engine examples/engines.sexp
(engines
  (engine q1 (listen 127.0.0.1:9101) (zone halle-1) (kind typ-a) (cores 8) (memory 16GiB)
    (cold-time 14s) (fall-multiple 2.5) (heeds-cancel no))
  (engine q2 (listen 127.0.0.1:9102) (zone halle-1) (kind typ-b) (cores 8) (memory 16GiB)
    (cold-time 14s) (fall-multiple 2.5) (heeds-cancel no))
  (engine q3 (listen 127.0.0.1:9103) (zone halle-2) (kind typ-a) (cores 8) (memory 16GiB)
    (cold-time 14s) (fall-multiple 2.5) (heeds-cancel no))
  (engine q4 (listen 127.0.0.1:9104) (zone halle-2) (kind typ-b) (cores 8) (memory 16GiB)
    (cold-time 14s) (fall-multiple 2.5) (heeds-cancel no))
  (engine q5 (listen 127.0.0.1:9105) (zone halle-3) (kind typ-a) (cores 8) (memory 16GiB)
    (cold-time 14s) (fall-multiple 2.5) (heeds-cancel no))
  (engine q6 (listen 127.0.0.1:9106) (zone halle-3) (kind typ-b) (cores 8) (memory 16GiB)
    (cold-time 14s) (fall-multiple 2.5) (heeds-cancel no)))
