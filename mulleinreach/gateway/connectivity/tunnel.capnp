# Messages that open a tunnel: a connection of one node to an upstream through another node.
# Each is sent over TCP as a 4-byte big-endian length and one packed message. After a reply of
# "opened", the asking node's bytes follow as they are. The upstream's bytes follow in blocks, each
# with a 4-byte big-endian length; a length of 0 shows that the upstream has closed the connection,
# and is followed by the number of bytes that it had received by then, in 8 bytes.
@0xd81b7c5e9f20a64d;

struct TunnelRequest {
  secret @0 :Text;           # secret of the coordinator's lease
  upstream @1 :Text;         # address of the upstream
}

struct TunnelReply {
  outcome @0 :UInt8;         # 1 opened, 2 refused by the upstream, 3 unreachable, 4 denied
}
