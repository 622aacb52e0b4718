// Reads the [fleet] table, which lists the members of the cluster and the limits of its jobs.
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

// Returns the line at which the table begins.
int lineOf(const toml::table &table) { return static_cast<int>(table.source().begin.line); }

// Reads the address of `key` into `out`. Returns false if the key is missing or its value is not an address.
bool readAddress(TableReader &reader, const char *key, net::Address &out) {
  bool isRead = false;
  reader.string(key, kExpectedAddress, [&](const std::string &text) {
    const auto address = net::parseAddress(text);
    if (address) out = *address;
    return isRead = address.has_value();
  });
  return isRead;
}

// Reads one [[fleet.member]] table. No two members may have the same name or address.
void readMember(const toml::table &in, const std::string &path, cluster::Membership &out,
                std::vector<SettingsError> &errors) {
  cluster::Member member;
  bool hasAddress = false;
  {
    TableReader reader(in, path, errors);
    reader.string("name", "1 to 64 letters, digits or any of -_.", [&](const std::string &text) {
      member.name = text;
      return isMemberName(text);
    });
    hasAddress = readAddress(reader, "address", member.address);
  }
  const int line = lineOf(in);
  if (member.name.empty()) errors.push_back({line, path + "name", "required, but missing"});
  if (!hasAddress && !in.contains("address"))
    errors.push_back({line, path + "address", "required, but missing"});
  for (const auto &other : out.members)
    if (other.name == member.name || (hasAddress && other.address == member.address))
      errors.push_back({line, path + "name", "member '" + other.name + "' already has this name or address"});
  out.members.push_back(std::move(member));
}

void readMembers(TableReader &reader, cluster::Membership &out, std::vector<SettingsError> &errors) {
  const auto *node = reader.find("member");
  if (node == nullptr) return;
  const auto *list = node->as_array();
  const bool isValid = list != nullptr && !list->empty() && list->size() <= kMaxMembers &&
                       list->is_homogeneous<toml::table>();
  if (!isValid) {
    reader.addError(*node, "member", "1 to 1000 tables [[fleet.member]]");
    return;
  }
  for (std::size_t i = 0; i < list->size(); ++i)
    readMember(*list->get_as<toml::table>(i), "fleet.member[" + std::to_string(i) + "].", out, errors);
}

void readLimits(TableReader &reader, cluster::Membership &out) {
  auto &leases = out.leaseSettings;
  reader.duration("claim", 500 * kMillisecond, 600 * kSecond, leases.leaseDuration);
  reader.duration("drift", 0, 60 * kSecond, leases.maxClockSkew);
  reader.duration("grace", 0, 600 * kSecond, leases.executionGrace);
  reader.duration("keep_for", 60 * kSecond, 30 * kDay, leases.retention);
  reader.duration("pause_first", kMillisecond, 60 * kSecond, leases.baseBackoff);
  reader.duration("pause_most", kMillisecond, 3600 * kSecond, leases.maxBackoff);
  reader.integer("starts", 1, 100, leases.maxStarts);
  reader.integer("queue", 1, 100'000, out.maxOpenJobs);
  reader.integer("slots", 0, 1000, out.maxRunningJobs);
}

// Checks that required keys are present, and the constraints between keys.
void checkMembership(const toml::table &in, const cluster::Membership &membership, bool hasListenAddress,
                     std::vector<SettingsError> &errors) {
  const int line = lineOf(in);
  if (!hasListenAddress && !in.contains("listen"))
    errors.push_back({line, "fleet.listen", "required, but missing"});
  if (membership.storeFolder.empty() && !in.contains("folder"))
    errors.push_back({line, "fleet.folder", "required, but missing"});
  if (membership.members.empty() && !in.contains("member"))
    errors.push_back({line, "fleet.member", "expected one [[fleet.member]] table for each member"});
  if (membership.leaseSettings.maxClockSkew >= membership.leaseSettings.leaseDuration)
    errors.push_back(
        {line, "fleet.drift", "must be less than fleet.claim; otherwise no lease would ever be valid"});
}

} // namespace

void readClusterSettings(const toml::table &in, Settings &out, std::vector<SettingsError> &errors) {
  cluster::Membership membership;
  std::string ownName;
  bool hasListenAddress = false;
  {
    TableReader reader(in, "fleet.", errors);
    reader.string("name", "the name of one of [[fleet.member]]", [&](const std::string &text) {
      ownName = text;
      return isMemberName(text);
    });
    hasListenAddress = readAddress(reader, "listen", membership.listenAddress);
    reader.string("folder", "the path of a folder on persistent storage", [&](const std::string &text) {
      membership.storeFolder = text;
      return !text.empty();
    });
    readLimits(reader, membership);
    readMembers(reader, membership, errors);
  }
  checkMembership(in, membership, hasListenAddress, errors);
  const auto own = std::ranges::find(membership.members, ownName, &cluster::Member::name);
  if (own == membership.members.end())
    errors.push_back(
        {lineOf(in), "fleet.name", "expected the name of one of [[fleet.member]], found '" + ownName + "'"});
  membership.ownIndex = static_cast<std::uint32_t>(own - membership.members.begin());
  out.cluster = std::move(membership);
}

} // namespace myrtlehead::settings
