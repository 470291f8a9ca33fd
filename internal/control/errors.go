package control

import "lilacvane/internal/fault"

var errNoHolder = fault.New(fault.CodeNotHolder, "sync", "no holder is known")
