// Reads the [fleet] table: the members of the cluster, and the limits of its jobs.
#include "app/settings/table_reader.h"

namespace myrtlehead::settings {

namespace {

constexpr std::size_t kMaxMembers = 1000;
constexpr std::size_t kMaxNameLength = 64;
const char *const kExpectedAddress = "an address and port such as \"127.0.0.1:7601\"";

bool isMemberName(const std::string &text) {
  return !text.empty() && text.size() <= kMaxNameLength && std::ranges::all_of(text, [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  });
}

// The line at which the table begins.
int lineOf(const toml::table &table) { return static_cast<int>(table.source().begin.line); }

// Reads the key's address into `out`; false: it is missing or is none.
bool readAddress(Reader &reader, const char *key, net::Address &out) {
  bool isRead = false;
  reader.word(key, kExpectedAddress, [&](const std::string &text) {
    const auto address = net::parseAddress(text);
    if (address) out = *address;
    return isRead = address.has_value();
  });
  return isRead;
}

// One [[fleet.member]]; its name and address must be no other member's.
void readMember(const toml::table &in, const std::string &path, cluster::Membership &out,
                std::vector<Fault> &faults) {
  cluster::Member member;
  bool hasAddress = false;
  {
    Reader reader(in, path, faults);
    reader.word("name", "1 to 64 letters, digits or any of -_.", [&](const std::string &text) {
      member.name = text;
      return isMemberName(text);
    });
    hasAddress = readAddress(reader, "address", member.address);
  }
  const int line = lineOf(in);
  if (member.name.empty()) faults.push_back({line, path + "name", "expected, but missing"});
  if (!hasAddress && !in.contains("address"))
    faults.push_back({line, path + "address", "expected, but missing"});
  for (const auto &other : out.members)
    if (other.name == member.name || (hasAddress && other.address == member.address))
      faults.push_back({line, path + "name", "another member has this name or address: " + other.name});
  out.members.push_back(std::move(member));
}

void readMembers(Reader &reader, cluster::Membership &out, std::vector<Fault> &faults) {
  const auto *node = reader.find("member");
  if (node == nullptr) return;
  const auto *list = node->as_array();
  const bool isValid = list != nullptr && !list->empty() && list->size() <= kMaxMembers &&
                       list->is_homogeneous<toml::table>();
  if (!isValid) {
    reader.fault(*node, "member", "1 to 1000 tables [[fleet.member]]");
    return;
  }
  for (std::size_t i = 0; i < list->size(); ++i)
    readMember(*list->get_as<toml::table>(i), "fleet.member[" + std::to_string(i) + "].", out, faults);
}

void readLimits(Reader &reader, cluster::Membership &out) {
  auto &leases = out.leaseSettings;
  reader.duration("claim", 500 * kMillisecond, 600 * kSecond, leases.leaseDuration);
  reader.duration("drift", 0, 60 * kSecond, leases.maxClockSkew);
  reader.duration("grace", 0, 600 * kSecond, leases.executionGrace);
  reader.duration("keep_for", 60 * kSecond, 30 * kDay, leases.retention);
  reader.duration("pause_first", kMillisecond, 60 * kSecond, leases.baseBackoff);
  reader.duration("pause_most", kMillisecond, 3600 * kSecond, leases.maxBackoff);
  reader.whole("starts", 1, 100, leases.maxStarts);
  reader.whole("queue", 1, 100'000, out.maxOpenJobs);
  reader.whole("slots", 0, 1000, out.maxRunningJobs);
}

// What must be there, and what must hold between keys.
void checkMembership(const toml::table &in, const cluster::Membership &membership, bool hasListenAddress,
                     std::vector<Fault> &faults) {
  const int line = lineOf(in);
  if (!hasListenAddress && !in.contains("listen"))
    faults.push_back({line, "fleet.listen", "expected, but missing"});
  if (membership.storeFolder.empty() && !in.contains("folder"))
    faults.push_back({line, "fleet.folder", "expected, but missing"});
  if (membership.members.empty() && !in.contains("member"))
    faults.push_back({line, "fleet.member", "expected [[fleet.member]] tables, one for each member"});
  if (membership.leaseSettings.maxClockSkew >= membership.leaseSettings.leaseDuration)
    faults.push_back({line, "fleet.drift", "is not below claim: no claim could ever be used"});
}

} // namespace

void readFleet(const toml::table &in, Settings &out, std::vector<Fault> &faults) {
  cluster::Membership membership;
  std::string ownName;
  bool hasListenAddress = false;
  {
    Reader reader(in, "fleet.", faults);
    reader.word("name", "the name of one of [[fleet.member]]", [&](const std::string &text) {
      ownName = text;
      return isMemberName(text);
    });
    hasListenAddress = readAddress(reader, "listen", membership.listenAddress);
    reader.word("folder", "the path of a folder that lasts", [&](const std::string &text) {
      membership.storeFolder = text;
      return !text.empty();
    });
    readLimits(reader, membership);
    readMembers(reader, membership, faults);
  }
  checkMembership(in, membership, hasListenAddress, faults);
  const auto own = std::ranges::find(membership.members, ownName, &cluster::Member::name);
  if (own == membership.members.end())
    faults.push_back(
        {lineOf(in), "fleet.name", "expected the name of one of [[fleet.member]], found '" + ownName + "'"});
  membership.ownIndex = static_cast<std::uint32_t>(own - membership.members.begin());
  out.fleet = std::move(membership);
}

} // namespace myrtlehead::settings
