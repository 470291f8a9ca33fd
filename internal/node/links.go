package node

import "lilacvane/internal/link"

// initLinks sets up the connection counters and connects them to the node's log.
func (n *Node) initLinks() {
	if n.platform.Links == nil {
		n.platform.Links = &link.Record{}
	}
	n.platform.Links.SetLogger(n.log.Logger)
}
