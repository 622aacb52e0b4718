// State on disk: whole or not believed, never lost.
#include "base/store/store.h"
#include "follow/names/snapshot.h"

#include <cassert>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace myrtlehead;
using store::Opened;

static const store::Kind kKind{"names", "n0", 1};

struct Folder {
  Folder() { std::filesystem::create_directory(path); }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string path =
      (std::filesystem::temp_directory_path() / ("myrtlehead-store-" + std::to_string(getpid()))).string();
};

static std::string bytesOf(const std::string &path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

static void tornAtAnyByteIsRefused() {
  const auto whole = store::seal(kKind, "a payload\nwith lines");
  assert(store::open(whole, kKind).payload == "a payload\nwith lines");
  for (std::size_t n = 0; n < whole.size(); ++n)
    assert(store::open(std::string_view(whole).substr(0, n), kKind).refusal != Opened::none);
  for (std::size_t at = 0; at < whole.size(); ++at) {
    auto changed = whole;
    changed[at] = static_cast<char>(changed[at] ^ 1);
    assert(store::open(changed, kKind).refusal != Opened::none);
  }
  assert(store::open(whole + "x", kKind).refusal == Opened::torn);
}

static void otherKindsFormatsAndMarshalsAreRefused() {
  const auto refusal = [](const store::Kind &was) {
    return store::open(store::seal(was, "x"), kKind).refusal;
  };
  assert(refusal({"names", "n0", 0}) == Opened::otherFormat &&
         refusal({"names", "n0", 2}) == Opened::otherFormat);
  assert(refusal({"names", "n1", 1}) == Opened::foreign && refusal({"intent", "n0", 1}) == Opened::foreign);
  assert(store::open("#!/bin/sh\n", kKind).refusal == Opened::foreign);
}

static void whatIsRefusedIsSetAside() {
  Folder f;
  const auto path = f.path + "/names";
  assert(store::load(path, kKind).refusal == Opened::missing);
  assert(store::save(path, store::seal(kKind, "one")).empty() && store::load(path, kKind).payload == "one");
  std::ofstream(path) << "half";
  const auto opened = store::load(path, kKind);
  assert(opened.refusal == Opened::foreign && opened.why.find("kept as") != std::string::npos);
  assert(bytesOf(path + ".refused") == "half" && !std::filesystem::exists(path));
  assert(!store::save(f.path + "/nowhere/names", "x").empty());
}

// What is beside the file from a save that never ended does not matter.
static void anUnfinishedSaveLeavesTheOldState() {
  Folder f;
  const auto path = f.path + "/names";
  store::save(path, store::seal(kKind, "old"));
  std::ofstream(path + ".new") << "half of the new";
  assert(store::load(path, kKind).payload == "old");
  assert(store::save(path, store::seal(kKind, "new")).empty() && store::load(path, kKind).payload == "new");
}

static void theLatestHandedOverIsSaved() {
  Folder f;
  const auto path = f.path + "/names";
  {
    store::Writer writer(path);
    for (int i = 0; i < 100; ++i) writer.put(store::seal(kKind, std::to_string(i)));
  }
  assert(store::load(path, kKind).payload == "99");
  store::Writer nowhere(f.path + "/none/names");
  nowhere.put("x");
  std::string fault;
  for (int i = 0; i < 1000 && fault.empty(); ++i) usleep(1000), fault = nowhere.lastFault();
  assert(!fault.empty());
}

// Times pass through the wall clock: another life has another nought.
static void thePastReadsTheSameInAnotherLife() {
  constexpr Ns kUnix = 1'700'000'000 * kSec, kNow = 1000 * kSec;
  sources::Past past;
  past.sets = {{"_pg._tcp.maps.example", kNow, kNow + 60 * kSec, {{{"s-1.maps.example", 6432, 1, 2}, 0}}}};
  past.hosts = {{"s-1.maps.example", {"127.0.0.1"}, 7}};
  past.listed = {{"n1",
                  "127.0.0.1:6432",
                  {.build = 3, .zone = 1, .cell = 2, .start = kNow - kSec, .mode = Mode::draining}}};
  past.departed = {{"127.0.0.2:6432", kNow - 5 * kSec}};
  past.starts = {{"127.0.0.1:6432", 0}};
  const auto text = names::writePast(past, kUnix, kNow);
  Ns savedAt = 0;
  const auto read = names::readPast(text, kUnix + 30 * kSec, savedAt); // its clock began 30 s later
  assert(read && savedAt == kNow - 30 * kSec);
  assert(read->sets[0].goodUntil == kNow + 30 * kSec && read->sets[0].servers[0].target.port == 6432);
  assert(read->hosts[0].addresses[0] == "127.0.0.1" && read->hosts[0].release == 7);
  assert(read->listed[0].listing.mode == Mode::draining && read->listed[0].listing.start == kNow - 31 * kSec);
  assert(read->departed[0].second == kNow - 35 * kSec && read->starts[0].second == 0);
  for (const char *bad : {"", "{", "[]", "{\"saved\":1}", "{\"saved\":-1}"})
    assert(!names::readPast(bad, kUnix, savedAt));
}

int main() {
  tornAtAnyByteIsRefused();
  otherKindsFormatsAndMarshalsAreRefused();
  whatIsRefusedIsSetAside();
  anUnfinishedSaveLeavesTheOldState();
  theLatestHandedOverIsSaved();
  thePastReadsTheSameInAnotherLife();
}
