@0xb1f0c3a2d4e59687;
# Messages between instances about shares of customers' rates. Fields are only
# ever added, so that two releases can run side by side.

struct Holder {
  instance @0 :Text;
  incarnation @1 :UInt64;
}

struct Ledger {
  epoch @0 :UInt64;
  holders @1 :List(Holder);
}

struct Returned {
  loan @0 :UInt64;
  unused @1 :Float64;
}

struct Ask {
  customer @0 :Text;
  loan @1 :UInt64;
  tokens @2 :Float64;
  refund @3 :Float64;
  returned @4 :List(Returned);
}

struct Grant {
  customer @0 :Text;
  loan @1 :UInt64;
  tokens @2 :Float64;
  level @3 :Float64;
}

struct Poll {
  number @0 :UInt64;
  epoch @1 :UInt64;
}

struct Report {
  number @0 :UInt64;
  epoch @1 :UInt64;
  sure @2 :Bool;
  ledger @3 :Ledger;
}

struct ShareMessage {
  union {
    ask @0 :Ask;
    grant @1 :Grant;
    poll @2 :Poll;
    report @3 :Report;
  }
}
