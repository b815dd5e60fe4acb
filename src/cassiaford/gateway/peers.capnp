@0xe1b0a4c2d7f35a91;

# Messages between instances. A report is sent as one packed datagram, which may
# be lost, duplicated or reordered. Fields are only ever added.

struct Work {
  server @0 :UInt32;        # digest of the backend server's incarnation
  retired1 @1 :UInt32;      # no longer used
  running @2 :UInt16;
  tokens @3 :UInt32;        # of the running requests
  retired4 @4 :Int16;       # no longer used
  unstarted @5 :UInt16;     # running requests without a first token
  readTokens @6 :UInt64;    # prefill tokens placed since the sender's start
}

struct Spending {
  customer @0 :UInt32;      # digest of the customer's name
  tokens @1 :UInt64;        # spent since the sender's start
}

struct UnitPlacement {
  unit @0 :UInt32;          # digest of a placement prefix
  server @1 :UInt32;
}

struct Crash {
  server @0 :UInt32;         # digest of the backend server's incarnation
  requests @1 :List(Text);   # fingerprints
  parts @2 :List(UInt64);    # fingerprints of parts of prompts without an answer
  ageMs @3 :UInt32;          # since the crash
  answered @4 :List(UInt64); # those of the parts that were answered before
}

struct Cleared {
  request @0 :Text;          # fingerprint of a request that has completed
  servers @1 :List(UInt32);  # whose crashes it is cleared of
}

struct PartGroup {
  parts @0 :List(UInt64);    # refused where all of them are in one prompt
}

struct VersionAge {
  model @0 :UInt32;          # digest of the model's name
  version @1 :UInt64;
  ageMs @2 :UInt32;          # since it was named, as far as the sender knows
  witnessed @3 :Bool;        # an instance saw the naming
}

struct StreamOrigin {
  attempt @0 :UInt64;       # digest of the attempt that brought the first event
  origin @1 :UInt64;        # digest of service and software version; 0: ambiguous
}

struct Origins {
  told @0 :List(StreamOrigin);
  asked @1 :List(UInt64);   # digests of attempts
  unknown @2 :List(UInt64); # in answer to a question
}

# A report that is not whole identifies its sender by digest and contains only
# what has changed; only whole reports contain the texts.
struct Report {
  name @0 :Text;
  incarnation @1 :UInt64;   # time of the sender's start in milliseconds
  dataCentre @2 :Text;
  frontAddress @3 :Text;
  peerAddress @4 :Text;
  ready @5 :Bool;
  whole @6 :Bool;
  work @7 :List(Work);
  spending @8 :List(Spending);
  held @9 :List(UInt32);    # engines taken out of use for new weights
  placements @10 :List(UnitPlacement);
  revision @11 :UInt64;     # of the sender's copy of the store
  sequence @12 :UInt32;
  unreachable @13 :List(UInt32);
  sender @14 :UInt32;       # digest of the sender's name
  readSpeed @15 :UInt32;    # the sender's estimate, in prefill tokens a second
  crashes @16 :List(Crash);
  cleared @17 :List(Cleared);
  refusedParts @18 :List(PartGroup);
  answeredParts @19 :List(UInt64);  # since they were reported with a crash
  versionAges @20 :List(VersionAge);
  origins @21 :Origins;     # alone, without a sequence, so that older releases drop it
}

# An instance's copy of a part of the store, for a peer whose calls to the store fail.
struct Item {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
}

struct Section {
  prefix @0 :Text;
  revision @1 :UInt64;
  items @2 :List(Item);
}

struct Snapshot {
  sections @0 :List(Section);
  era @1 :UInt64;           # of the store
}
