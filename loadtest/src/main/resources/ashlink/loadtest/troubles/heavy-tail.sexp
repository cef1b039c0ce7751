  (trouble (kind heavy-tail) (at 4s) (for 8s) (target abfrage) (factor 8))
