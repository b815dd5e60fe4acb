@0xc7a5d2b8f1e0946b;
# Messages that forward claims to the instance that writes their shard.

struct Ask {
  shard @0 :Text;
  record @1 :Data;  # one line of a shard, encoded as in the key-value service
}

struct Outcome {
  requestId @0 :Text;
  status @1 :UInt16;
  contentType @2 :Text;
  body @3 :Data;
  bodyKept @4 :Bool;
}

struct Refusal {
  reason @0 :Text;
  verdict @1 :Text;
  message @2 :Text;
  mayRetry @3 :Bool;
  retryAfterS @4 :Float64;
}

struct Answer {
  nonce @0 :Text;
  union {
    granted @1 :Void;
    outcome @2 :Outcome;
    refusal @3 :Refusal;
  }
}

struct ClaimMessage {
  union {
    ask @0 :Ask;
    answer @1 :Answer;
    end @2 :Ask;
    ended @3 :Text;
  }
}
