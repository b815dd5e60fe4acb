@0xb1f3c5a7d9e20461;

# A message between instances, sent after an HMAC-SHA-256 of its bytes. Fields
# are only ever added; each addition increments `minor`, and receivers ignore
# unknown fields. `major` is incremented when older receivers could not decode a
# message.

struct Envelope {
  major @0 :UInt16;
  minor @1 :UInt16;
  sender @2 :Text;
  incarnation @3 :UInt64;
  receiver @4 :Text;       # empty if the sender knows only an address
  wallMs @5 :UInt64;       # the sender's hybrid logical clock
  counter @6 :UInt32;
  channel @7 :UInt16;
  body @8 :Data;
}

struct MemberUpdate {
  instance @0 :Text;
  incarnation @1 :UInt64;
  dataCentre @2 :Text;
  httpAddress @3 :Text;
  peerAddress @4 :Text;
  leaving @5 :Bool;
  version @6 :UInt32;
  state @7 :UInt8;
  ready @8 :Bool = true;
}

struct MembershipMessage {
  kind @0 :UInt8;
  sequence @1 :UInt32;
  target @2 :Text;
  updates @3 :List(MemberUpdate);
  revision @4 :UInt64;
  digest @5 :UInt64;       # of the members known to the sender
}

struct ConfigurationNotice {
  revision @0 :UInt64;
}

struct ConfigurationRequest {
  afterRevision @0 :UInt64;
}

# Either the entries after the requested revision, or a whole configuration.
struct ConfigurationReply {
  snapshot @0 :Data;
  entries @1 :List(Data);
}
