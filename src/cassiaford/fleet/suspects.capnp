@0x9d1e7c5ab4083f62;
# Messages between instances about requests that may crash servers.

struct Crash {
  server @0 :Text;
  incarnation @1 :Text;
}

struct CrashReport {
  crash @0 :Crash;
  fingerprints @1 :List(Text);
  parts @2 :List(UInt64);      # of prompts without an answer
  answered @3 :List(UInt64);   # those of the parts that were answered before
  ageMs @4 :UInt32;            # since the crash
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
    answered @3 :List(UInt64);   # parts that were candidates for crashes
    refused @4 :List(UInt64);    # parts that are refused in one prompt
  }
}
