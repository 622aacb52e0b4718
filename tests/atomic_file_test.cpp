// Tests of atomic state files: a file is loaded completely or rejected, and a rejected file is kept.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "base/storage/atomic_file.h"
#include "control/dns/snapshot.h"

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace myrtlehead;
using storage::LoadStatus;

static const storage::FileIdentity kIdentity{"names", "n0", 1};

// A temporary directory, removed by the destructor.
struct TemporaryDirectory {
  TemporaryDirectory() { std::filesystem::create_directory(path); }
  ~TemporaryDirectory() { std::filesystem::remove_all(path); }
  std::string path =
      (std::filesystem::temp_directory_path() / ("myrtlehead-store-" + std::to_string(getpid()))).string();
};

static std::string bytesOf(const std::string &path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

TEST_CASE("a file truncated or changed at any byte is rejected") {
  const auto whole = storage::encode(kIdentity, "a payload\nwith lines");
  REQUIRE(storage::decode(whole, kIdentity).payload == "a payload\nwith lines");
  for (std::size_t n = 0; n < whole.size(); ++n)
    REQUIRE(storage::decode(std::string_view(whole).substr(0, n), kIdentity).status != LoadStatus::loaded);
  for (std::size_t at = 0; at < whole.size(); ++at) {
    auto changed = whole;
    changed[at] = static_cast<char>(changed[at] ^ 1);
    REQUIRE(storage::decode(changed, kIdentity).status != LoadStatus::loaded);
  }
  REQUIRE(storage::decode(whole + "x", kIdentity).status == LoadStatus::corrupted);
}

TEST_CASE("files with other content, formats or owners are rejected") {
  const auto statusOf = [](const storage::FileIdentity &savedAs) {
    return storage::decode(storage::encode(savedAs, "x"), kIdentity).status;
  };
  REQUIRE(statusOf({"names", "n0", 0}) == LoadStatus::unsupportedFormat);
  REQUIRE(statusOf({"names", "n0", 2}) == LoadStatus::unsupportedFormat);
  REQUIRE(statusOf({"names", "n1", 1}) == LoadStatus::foreign);
  REQUIRE(statusOf({"intent", "n0", 1}) == LoadStatus::foreign);
  REQUIRE(storage::decode("#!/bin/sh\n", kIdentity).status == LoadStatus::foreign);
}

TEST_CASE("a rejected file is kept under another name") {
  TemporaryDirectory directory;
  const auto path = directory.path + "/names";
  REQUIRE(storage::load(path, kIdentity).status == LoadStatus::missing);
  REQUIRE(!storage::save(path, storage::encode(kIdentity, "one")));
  REQUIRE(storage::load(path, kIdentity).payload == "one");
  std::ofstream(path) << "half";
  const auto loaded = storage::load(path, kIdentity);
  REQUIRE(loaded.status == LoadStatus::foreign);
  REQUIRE(loaded.problem.find("kept as") != std::string::npos);
  REQUIRE(bytesOf(path + ".refused") == "half");
  REQUIRE(!std::filesystem::exists(path));
  const auto error = storage::save(directory.path + "/nowhere/names", "x");
  REQUIRE(error);
  REQUIRE(error->step == storage::SaveError::Step::open);
  REQUIRE(error->errorNumber == ENOENT);
}

TEST_CASE("an interrupted save leaves the old state") {
  TemporaryDirectory directory;
  const auto path = directory.path + "/names";
  storage::save(path, storage::encode(kIdentity, "old"));
  std::ofstream(path + ".new") << "half of the new";
  REQUIRE(storage::load(path, kIdentity).payload == "old");
  REQUIRE(!storage::save(path, storage::encode(kIdentity, "new")));
  REQUIRE(storage::load(path, kIdentity).payload == "new");
}

TEST_CASE("the writer saves the latest submitted content") {
  TemporaryDirectory directory;
  const auto path = directory.path + "/names";
  {
    storage::AtomicFileWriter writer(path);
    for (int i = 0; i < 100; ++i) writer.submit(storage::encode(kIdentity, std::to_string(i)));
  }
  REQUIRE(storage::load(path, kIdentity).payload == "99");
  storage::AtomicFileWriter failing(directory.path + "/none/names"); // the directory does not exist
  failing.submit("x");
  std::optional<storage::SaveError> error;
  for (int i = 0; i < 1000 && !error; ++i) {
    usleep(1000);
    error = failing.takeLastError();
  }
  REQUIRE(error);
}

// Times are stored as Unix time, because the monotonic clock of each process has its own origin.
TEST_CASE("a snapshot keeps its points in time when another process reads it") {
  constexpr Nanoseconds kUnix = 1'700'000'000 * kSecond, kNow = 1000 * kSecond;
  endpoint_merge::Snapshot snapshot;
  snapshot.sets = {
      {"_pg._tcp.maps.example", kNow, kNow + 60 * kSecond, {{{"s-1.maps.example", 6432, 1, 2}, 0}}}};
  snapshot.hosts = {{"s-1.maps.example", {"127.0.0.1"}, 7}};
  snapshot.listed = {
      {"n1",
       "127.0.0.1:6432",
       {.build = 3, .zone = 1, .cell = 2, .startedAt = kNow - kSecond, .state = EndpointState::draining}}};
  snapshot.departed = {{"127.0.0.2:6432", kNow - 5 * kSecond}};
  snapshot.starts = {{"127.0.0.1:6432", 0}};
  const auto text = dns_discovery::encodeSnapshot(snapshot, kUnix, kNow);
  const auto decoded = dns_discovery::decodeSnapshot(
      text,
      kUnix + 30 * kSecond); // the origin of its clock is 30 s later
  REQUIRE(decoded);
  REQUIRE(decoded->savedAt == kNow - 30 * kSecond);
  const auto *restored = &decoded->snapshot;
  REQUIRE(restored->sets[0].validUntil == kNow + 30 * kSecond);
  REQUIRE(restored->sets[0].targets[0].target.port == 6432);
  REQUIRE(restored->hosts[0].addresses[0] == "127.0.0.1");
  REQUIRE(restored->hosts[0].release == 7);
  REQUIRE(restored->listed[0].info.state == EndpointState::draining);
  REQUIRE(restored->listed[0].info.startedAt == kNow - 31 * kSecond);
  REQUIRE(restored->departed[0].second == kNow - 35 * kSecond);
  REQUIRE(restored->starts[0].second == 0);
  for (const char *bad : {"", "{", "[]", "{\"saved\":1}", "{\"saved\":-1}"})
    REQUIRE(!dns_discovery::decodeSnapshot(bad, kUnix));
}
