; A rollout: magpieshift rollout check deploy/rollout.sexp
; Started with: magpieshift rollout start deploy/rollout.sexp --state rollouts/v7
(rollout
  (name v7)
  ; What processes of each side are called, and the command that starts one and returns. In braces: name, label, term,
  ; console. The command has to end in: magpieshift run ... --console {console} --label {label} --term {term}
  (new (label v7) (start "/opt/edge/start /opt/edge/v7 {name} {console} {label} {term}"))
  (old (label v6) (start "/opt/edge/start /opt/edge/v6 {name} {console} {label} {term}"))
  ; Each router has two doors: one of the process that serves, one of the next.
  (routers
    (r0 (zone north) (doors 10.0.0.1:6566 10.0.0.1:6567))
    (r1 (zone north) (doors 10.0.0.2:6566 10.0.0.2:6567))
    (r2 (zone south) (doors 10.0.1.1:6566 10.0.1.1:6567))
    (r3 (zone south) (doors 10.0.1.2:6566 10.0.1.2:6567)))
  ; Each stage names how many are new at its end, of all or of one zone. It lasts soak-s at least, and is held for people
  ; where it is not known within most-s whether the new side does worse.
  (stages
    (one (routers 1) (soak-s 300) (most-s 3600))
    (half (share 0.5) (soak-s 300) (most-s 3600))
    (all (share 1) (soak-s 300)))
  ; By how much the new side may be worse, and how often one that is no worse may be stopped.
  (worse-by (served 0.01) (processor 0.15) (memory-mb-per-min 0.5) (wrongly 0.01))
  (most-away 1)   ; that do not answer or are being changed, at one time
  (step-s 30)     ; for a process to serve, and for the other to end
  (on-stop back)) ; or hold
