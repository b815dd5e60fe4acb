@0xb5c2d07e9a3f4186;
# Announcements between instances of the work that they send to backend servers.

struct SentPrompt {
  server @0 :Text;
  tokens @1 :UInt32;
}
