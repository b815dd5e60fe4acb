@0x9d1e7c5ab4083f62;
# Messages between instances about requests that may crash servers.

struct Crash {
  server @0 :Text;
  incarnation @1 :Text;
}

struct CrashReport {
  crash @0 :Crash;
  fingerprints @1 :List(Text);
}

struct Cleared {
  fingerprint @0 :Text;
  crashes @1 :List(Crash);
}

struct SuspectMessage {
  union {
    report @0 :CrashReport;
    cleared @1 :Cleared;
    wanted @2 :Void;
  }
}
