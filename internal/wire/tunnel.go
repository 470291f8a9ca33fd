package wire

// MethodTunnel asks a node for a connection to a runner. The node connects to it directly,
// never through another node.
const MethodTunnel = "tunnel"

// TunnelRequest names the runner to connect to.
type TunnelRequest struct {
	Runner string `cbor:"1,keyasint,omitempty"`
	// Address is the runner's ip:port.
	Address string `cbor:"2,keyasint"`
}

// TunnelResponse is the response of a node that did not connect to the runner.
type TunnelResponse struct {
	// Refused is set if the runner's address refused the connection while others accepted one.
	Refused bool `cbor:"1,keyasint,omitempty"`
}
