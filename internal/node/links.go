package node

import "lilacvane/internal/link"

// countLinks joins the counts of connections and the node's log.
func (n *Node) countLinks() {
	if n.platform.Links == nil {
		n.platform.Links = &link.Record{}
	}
	n.platform.Links.Log(n.log.Logger)
}
