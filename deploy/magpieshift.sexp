; Settings of one edge router, for an installation of its own. Check a file with
;   magpieshift config check FILE
; Times are milliseconds. What is left out has the value shown here, but for names, addresses, limits, zones,
; kinds and classes, which must be given.
(magpieshift
  (name shop-1)                     ; binds at start
  (listen 127.0.0.1:6565)           ; binds at start
  (console 127.0.0.1:6566)          ; binds at start; operators' calls, nowhere where it is left out
  (change-log 127.0.0.1:7070)       ; list of stores and purges, as server-sent events
  (limits (memory-mb 96) (sockets 512))

  ; Where this router stands, and how many routers there are in all zones together.
  (zone shop)
  (routers 2)
  (router-index 0)
  (zones
    (hub (routers 0) (link-kb-per-s 0))
    (shop (routers 2) (link-kb-per-s 90000) (attached-to hub)))

  ; What the list calls the kinds of stores, and which of them fill from which.
  (kinds box upper origin)
  (parent-kind upper)
  (origin-kind origin)

  ; What clients may ask for. An effect is free (a repeat does nothing), keyed (stores know repeats by their key for
  ; dedup-ms) or unsafe. A request is in time within aim-ms and aim-stretch times its sending.
  (classes
    (picture
      (aim-ms 500) (aim-stretch 2) (deadline-ms 4000)
      (effect free) (in-parts true) (worth 2) (late-worth 0.1) (fresh-ms 0) (grace-ms 0) (stale-worth 0.7))
    (basket
      (aim-ms 700) (deadline-ms 3000)
      (effect keyed) (scope all) (dedup-ms 5000) (write true) (worth 3)))

  (stores
    (weights sizes)                 ; or live: they change with load
    (cold-from 0.2) (cold-ms 18000) ; a new store bears this share at first, all of it after that time
    (fall-multiple 2.5) (fall-ms 1000)
    (drain-ms 250) (answer-slack-ms 8)
    (notes true) (siblings true) (share-fills false)
    (report load_share concurrent))
  (parents (cold-from 0.1) (cold-ms 19000) (fall-multiple 2))
  (purges (grace-ms 500) (done-ms 6000))
  (attempts
    (most 8) (connect-timeout-ms 400)
    (cancel true) (probe true) (message false) (pass-by true) (second-copies false))
  (connections (idle-ms 15000) (streams 32))
  (retry-after-ms 900)
  (tick-ms 2)
  (client-kb-per-s 5000)
  (must-subscribe false))
