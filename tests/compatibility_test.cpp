// Compares encodings that must not change with those of version 1b4e476: datagrams between instances, the
// simulator's protocol, and data stored on disk. Version 1b4e476 wrote the files in tests/data/, which are
// described in tests/data/README.md.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "base/storage/atomic_file.h"
#include "cluster/job_submission.h"
#include "cluster/register_store.h"
#include "cluster/replicated_registers.h"
#include "control/dns/snapshot.h"
#include "policy/outlier_gossip.h"
#include "policy/peer_messages.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

using namespace myrtlehead;

namespace {

using Bytes = std::vector<std::uint8_t>;

std::string readFile(const std::filesystem::path &path) {
  std::ifstream in(path, std::ios::binary);
  REQUIRE(in.good());
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

std::filesystem::path dataFile(const std::string &name) {
  return std::filesystem::path(MYRTLEHEAD_TEST_DATA) / name;
}

// Creates a folder that is removed at the end of the test.
struct TemporaryFolder {
  TemporaryFolder() { std::filesystem::create_directories(path); }
  ~TemporaryFolder() { std::filesystem::remove_all(path); }
  std::filesystem::path path = std::filesystem::temp_directory_path() /
                               ("myrtlehead-compatibility-" + std::to_string(getpid()));
};

// Decodes hexadecimal digits and ignores other characters.
std::string fromHex(const std::string &text) {
  std::string out, digits;
  for (const char c : text) {
    if (std::isxdigit(static_cast<unsigned char>(c)) == 0) continue;
    digits += c;
    if (digits.size() < 2) continue;
    out += static_cast<char>(std::stoi(digits, nullptr, 16));
    digits.clear();
  }
  return out;
}

// Reads the adapter's replies field by field. A read past the end fails the test.
class ByteReader {
public:
  explicit ByteReader(std::string_view bytes) : bytes_(bytes) {}
  // Returns the next `n` bytes and moves past them.
  std::string_view take(std::size_t n) {
    REQUIRE(n <= bytes_.size());
    const auto out = bytes_.substr(0, n);
    bytes_.remove_prefix(n);
    return out;
  }
  bool empty() const { return bytes_.empty(); }

private:
  std::string_view bytes_;
};

// Decodes a big-endian number.
std::size_t numberOf(std::string_view bytes) {
  std::size_t out = 0;
  for (const char c : bytes) out = out << 8 | static_cast<unsigned char>(c);
  return out;
}

// The size in bytes of the fixed-size fields of a record with this code. Texts or bytes of variable size may
// follow these fields.
std::size_t fixedSizeOf(unsigned code) {
  switch (code) {
  case 17: // sends a vote
  case 23: // selects the instance that the following records belong to
    return 4;
  case 20: // sends an attempt
    return 18;
  case 25: // sends a peer message
    return 6;
  case 21: // writes a log line
    return 2;
  case 26: // sheds a request
  case 27: // sets a timer
    return 12;
  case 28: // watches the endpoint list
    return 1;
  case 29: // fails a request
    return 8;
  default:
    FAIL("unexpected record code " << code);
    return 0;
  }
}

// All replies without the texts of their log lines. The number of log lines is compared, their wording is
// not.
std::string withoutLogTexts(std::string_view replies) {
  constexpr unsigned kPeerMessage = 25, kLogLine = 21;
  std::string out;
  ByteReader allReplies(replies);
  while (!allReplies.empty()) {
    const auto recordCount = allReplies.take(4);
    ByteReader reply(allReplies.take(numberOf(allReplies.take(4))));
    out += recordCount;
    out += reply.take(4); // the number of the answered batch
    while (!reply.empty()) {
      const auto code = reply.take(1);
      const auto fields = reply.take(fixedSizeOf(static_cast<unsigned char>(code[0])));
      out += code;
      if (static_cast<unsigned char>(code[0]) == kLogLine) {
        reply.take(numberOf(fields));
        continue;
      }
      out += fields;
      if (static_cast<unsigned char>(code[0]) == kPeerMessage) out += reply.take(numberOf(fields.substr(4)));
    }
  }
  return out;
}

// The first recorded batch in which the answer to a vote is older than news that came before it.
constexpr std::uint32_t kFirstBatchWithOlderState = 654;

// The size in bytes of the replies to the batches before this one.
std::size_t sizeOfRepliesBefore(std::uint32_t batch, std::string_view replies) {
  std::size_t size = 0;
  for (ByteReader rest(replies); !rest.empty();) {
    rest.take(4); // the number of records
    const auto reply = rest.take(numberOf(rest.take(4)));
    if (numberOf(reply.substr(0, 4)) >= batch) break;
    size += 8 + reply.size();
  }
  return size;
}

// A job record in the form in which a member's register store keeps it.
const std::string kStoredJobJson =
    R"({"due":1700000060000000000,"first_begun":1700000001000000000,"form":1,"holder":2,)"
    R"("id":"67eb5d85ff9a8b1d","importance":7,"key":"0a1b","kind":1,"life":1699999999,"mark":"nightly-1",)"
    R"("not_before":1700000002000000000,"reason":"broken","route":"write","starts":1,"state":2,)"
    R"("submitted":1700000000000000000,"submitter":"billing","until":1700000005000000000,"value":"c0ffee",)"
    R"("window":5000000000})";

// Fails each call as if the other member were unreachable.
class UnconnectedClient final : public cluster::MemberClient {
public:
  net::Task<net::Result<cluster::HttpResponse>> call(std::uint32_t, cluster::ConsensusPhase, std::string,
                                                     net::Deadline) override {
    co_return net::Failure{net::ErrorCode::timedOut, net::SendProgress::notConnected};
  }
};

// Keeps registers in memory only.
class MemoryStore final : public cluster::RegisterStore {
public:
  sched::Task<std::optional<cluster::StorageError>> persist(std::string) override { co_return std::nullopt; }
};

} // namespace

TEST_CASE("an evidence report has 16 bytes: version 3, channel, build, incarnation, last failure, ratio, "
          "outcomes") {
  const EvidenceReport report{3, 307, 0xbeef, 0x1234, -1.2345, 4909};
  const Bytes bytes{0x03, 0x03, 0x01, 0x33, 0xbe, 0xef, 0x12, 0x34,
                    0xff, 0xff, 0xcf, 0xc7, 0x00, 0x00, 0x13, 0x2d};
  CHECK(encodeReport(report) == bytes);
  const auto read = decodeReport(bytes.data(), bytes.size());
  REQUIRE(read);
  CHECK(read->channel == 3);
  CHECK(read->build == 307);
  CHECK(read->incarnation == 0xbeef);
  CHECK(read->lastFailedFingerprint == 0x1234);
  CHECK(read->logLikelihoodRatio == -1.2345);
  CHECK(read->outcomes == 4909);
}

TEST_CASE("a position datagram has 5 bytes: version 4, verdict, build, stage") {
  const Vote vote{Verdict::rollBack, 307, 2};
  const Bytes bytes{0x04, 0x03, 0x01, 0x33, 0x02};
  CHECK(encodePosition(vote) == bytes);
  CHECK(decodePosition(bytes.data(), bytes.size()) == vote);
  CHECK(encodePosition({Verdict::promote, 1, 0}) == Bytes{0x04, 0x01, 0x00, 0x01, 0x00});
  CHECK(encodePosition({Verdict::hold, 1, 0}) == Bytes{0x04, 0x02, 0x00, 0x01, 0x00});
  CHECK(encodePosition({Verdict::abstain, 1, 0}) == Bytes{0x04, 0x00, 0x00, 0x01, 0x00});
}

TEST_CASE("a gossip datagram has version 5, the sender's zone, and 5 bytes per endpoint") {
  const GossipMessage message{0x0102, {{0xabcd, 1, 2, 3}, {0x0001, 255, 0, 9}}};
  const Bytes bytes{0x05, 0x01, 0x02, 0xab, 0xcd, 0x01, 0x02, 0x03, 0x00, 0x01, 0xff, 0x00, 0x09};
  CHECK(encodeGossip(message) == bytes);
  const auto read = decodeGossip(bytes.data(), bytes.size());
  REQUIRE(read);
  REQUIRE(read->observations.size() == 2);
  CHECK(read->senderZone == 0x0102);
  CHECK(read->observations[0].fingerprint == 0xabcd);
  CHECK(read->observations[1].failed == 255);
}

TEST_CASE("the simulator's adapter answers recorded batches with the same bytes, except for log texts") {
  const TemporaryFolder folder;
  const auto in = folder.path / "batches", out = folder.path / "replies";
  std::ofstream(in, std::ios::binary) << fromHex(readFile(dataFile("simulator-batches.hex")));
  const auto command = std::string(MYRTLEHEAD_ADAPTER) + " < " + in.string() + " > " + out.string();
  REQUIRE(std::system(command.c_str()) == 0);
  const auto replies = readFile(out);
  const auto recorded = fromHex(readFile(dataFile("simulator-replies.hex")));
  const auto size = sizeOfRepliesBefore(kFirstBatchWithOlderState, replies);
  const auto recordedSize = sizeOfRepliesBefore(kFirstBatchWithOlderState, recorded);
  const bool sameBefore = withoutLogTexts(replies.substr(0, size)) ==
                          withoutLogTexts(recorded.substr(0, recordedSize));
  const bool sameAfter = withoutLogTexts(replies.substr(size)) ==
                         withoutLogTexts(fromHex(readFile(dataFile("simulator-replies-from-654.hex"))));
  CHECK(sameBefore); // a bool, because doctest would print the binary data
  CHECK(sameAfter);
}

TEST_CASE("a stored job record is decoded, encoded to the same bytes, reported and converted to SQL") {
  const auto record = cluster::parseStoredJson(kStoredJobJson);
  REQUIRE(record);
  CHECK(cluster::toStoredJson(*record) == kStoredJobJson);
  CHECK(record->job.idempotency == Idempotency::idempotentWithKey);
  CHECK(record->job.state == job_lease::JobState::started);
  CHECK(record->job.idempotencyWindow == 5 * kSecond);
  CHECK(record->statement.rowKey == "0a1b");
  CHECK(cluster::toStatusJson(*record) ==
        R"({"holder":2,"id":"67eb5d85ff9a8b1d","kind":"deduped","mark":"nightly-1","reason":"broken",)"
        R"("route":"write","starts":1,"state":"begun","submitter":"billing"})");
  CHECK(cluster::toSql(*record, 480 * kMillisecond) ==
        "INSERT INTO records (k, v) VALUES ('0a1b', '\\xc0ffee') RETURNING v "
        "/* id=35a6bbc1ee1f1882,c=write,d=480,k=67eb5d85ff9a8b1d */");
}

TEST_CASE("a submission is identified by its submitter and its idempotency key") {
  const cluster::Routes routes{{"read", "write"}, {Idempotency::idempotent, Idempotency::idempotentWithKey}};
  const auto submission = cluster::parseSubmission(
      R"({"mark":"nightly-1","submitter":"billing","route":"write","key":"0a1b","value":"c0ffee"})", routes,
      1'700'000'000 * kSecond);
  REQUIRE(std::holds_alternative<cluster::JobRecord>(submission));
  CHECK(cluster::registerKeyOf(std::get<cluster::JobRecord>(submission).job.id) == "job/24dcdfc87b236661");
}

TEST_CASE("consensus calls between members and their replies have the same JSON") {
  sched::Scheduler sched(sched::Clock::simulated);
  UnconnectedClient client;
  MemoryStore store;
  cluster::ReplicatedRegisters registers(sched, client, store, 0, 3, 7);
  std::string promised, accepted;
  const auto body = [&]() -> sched::Task<> {
    promised = (co_await registers.onPrepare(R"({"ballot":[4,1700000000,2],"key":"job/1","value":""})")).body;
    accepted = (co_await registers.onAccept(R"({"ballot":[4,1700000000,2],"key":"job/1","value":"v"})")).body;
  };
  sched.spawn(body());
  sched.run();
  CHECK(promised == R"({"accepted":[0,0,0],"granted":true,"seen":[4,1700000000,2],"value":""})");
  CHECK(accepted == R"({"accepted":[4,1700000000,2],"granted":true,"seen":[4,1700000000,2],"value":""})");
  const consensus::AcceptorState state{{4, 1700000000, 2}, {4, 1700000000, 2}, "v"};
  CHECK(store.stateOf("job/1") == state);
}

TEST_CASE("a register store written by the earlier version is read") {
  const TemporaryFolder folder;
  std::filesystem::copy_file(dataFile("ledger-1b4e476.db"), folder.path / "ledger.db");
  sched::Scheduler sched(sched::Clock::simulated);
  const cluster::SqliteRegisterStore store(sched, folder.path.string(), "m0", 1'700'000'000);
  CHECK(!store.setAsideReason());
  REQUIRE(store.all().size() == 2);
  const consensus::AcceptorState job{{5, 1699999999, 2}, {4, 1699999998, 1}, kStoredJobJson};
  const consensus::AcceptorState promisedOnly{{9, 1699999999, 0}, {}, ""};
  CHECK(store.all().at("job/67eb5d85ff9a8b1d") == job);
  CHECK(store.all().at("job/0000000000000001") == promisedOnly);
  CHECK(store.incarnation() > 1699999990); // greater than the incarnation that wrote the store
}

TEST_CASE("a DNS state file written by the earlier version is decoded and encoded to the same bytes") {
  constexpr Nanoseconds kUnixAtZero = 1'700'000'000 * kSecond, kSavedAt = 1000 * kSecond;
  const storage::FileIdentity kind{"names", "n0", dns_discovery::kSnapshotFormat};
  const auto bytes = readFile(dataFile("names-1b4e476.state"));
  const auto opened = storage::decode(bytes, kind);
  REQUIRE(opened.status == storage::LoadStatus::loaded);
  const auto decoded = dns_discovery::decodeSnapshot(opened.payload, kUnixAtZero);
  REQUIRE(decoded);
  CHECK(decoded->savedAt == kSavedAt);
  const auto *snapshot = &decoded->snapshot;
  REQUIRE(snapshot->sets.size() == 1);
  CHECK(snapshot->sets[0].name == "_pg._tcp.maps.example");
  CHECK(snapshot->sets[0].targets[0].target.port == 6432);
  REQUIRE(snapshot->listed.size() == 1);
  CHECK(snapshot->listed[0].info.state == EndpointState::draining);
  CHECK(snapshot->listed[0].info.startedAt == kSavedAt - kSecond);
  CHECK(snapshot->departed[0].second == kSavedAt - 5 * kSecond);
  CHECK(storage::encode(kind, dns_discovery::encodeSnapshot(*snapshot, kUnixAtZero, decoded->savedAt)) ==
        bytes);
}
