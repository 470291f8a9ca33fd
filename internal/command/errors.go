package command

import "lilacvane/internal/fault"

var errUnknownFields = fault.New(fault.CodeInvalid, "check settings", "the file has unknown fields")
