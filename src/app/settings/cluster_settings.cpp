#include "app/settings/table_reader.h"

namespace myrtlehead::settings {

namespace {

constexpr std::size_t kMostMembers = 1000;

bool validMember(const std::string &text) {
  return !text.empty() && text.size() <= 64 && std::ranges::all_of(text, [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  });
}

void readMember(const toml::table &in, const std::string &path, cluster::Membership &out,
                std::vector<SettingsFault> &faults) {
  cluster::Member member;
  bool placed = false;
  {
    TableReader r(in, path, faults);
    r.string("name", "1 to 64 letters, digits or any of -_.", [&](const std::string &text) {
      member.name = text;
      return validMember(text);
    });
    r.string("address", "an address and port such as \"127.0.0.1:7601\"", [&](const std::string &text) {
      const auto at = net::parseAddress(text);
      if (at) member.at = *at;
      return placed = at.has_value();
    });
  }
  const int line = static_cast<int>(in.source().begin.line);
  if (member.name.empty()) faults.push_back({line, path + "name", "expected, but missing"});
  if (!placed && !in.contains("address")) faults.push_back({line, path + "address", "expected, but missing"});
  for (const auto &other : out.members)
    if (other.name == member.name || (placed && other.at == member.at))
      faults.push_back({line, path + "name", "another member has this name or address: " + other.name});
  out.members.push_back(std::move(member));
}

} // namespace

void readClusterSettings(const toml::table &in, Settings &out, std::vector<SettingsFault> &faults) {
  cluster::Membership m;
  std::string name;
  bool listens = false;
  const int line = static_cast<int>(in.source().begin.line);
  {
    TableReader r(in, "fleet.", faults);
    r.string("name", "the name of one of [[fleet.member]]", [&](const std::string &text) {
      name = text;
      return validMember(text);
    });
    r.string("listen", "an address and port such as \"127.0.0.1:7601\"", [&](const std::string &text) {
      const auto at = net::parseAddress(text);
      if (at) m.listen = *at;
      return listens = at.has_value();
    });
    r.string("folder", "the path of a folder that lasts", [&](const std::string &text) {
      m.folder = text;
      return !text.empty();
    });
    r.duration("claim", 500 * kMillisecond, 600 * kSecond, m.terms.claimFor);
    r.duration("drift", 0, 60 * kSecond, m.terms.drift);
    r.duration("grace", 0, 600 * kSecond, m.terms.grace);
    r.duration("keep_for", 60 * kSecond, 30 * kDay, m.terms.keepFor);
    r.duration("pause_first", kMillisecond, 60 * kSecond, m.terms.pauseFirst);
    r.duration("pause_most", kMillisecond, 3600 * kSecond, m.terms.pauseMost);
    r.integer("starts", 1, 100, m.terms.mostStarts);
    r.integer("queue", 1, 100'000, m.queue);
    r.integer("slots", 0, 1000, m.slots);
    if (const auto *node = r.find("member"); node != nullptr) {
      const auto *list = node->as_array();
      if (list == nullptr || list->empty() || list->size() > kMostMembers ||
          !list->is_homogeneous<toml::table>())
        r.addFault(*node, "member", "1 to 1000 tables [[fleet.member]]");
      else
        for (std::size_t i = 0; i < list->size(); ++i)
          readMember(*list->get_as<toml::table>(i), "fleet.member[" + std::to_string(i) + "].", m, faults);
    }
  }
  if (!listens && !in.contains("listen")) faults.push_back({line, "fleet.listen", "expected, but missing"});
  if (m.folder.empty() && !in.contains("folder"))
    faults.push_back({line, "fleet.folder", "expected, but missing"});
  if (m.members.empty() && !in.contains("member"))
    faults.push_back({line, "fleet.member", "expected [[fleet.member]] tables, one for each member"});
  if (m.terms.drift >= m.terms.claimFor)
    faults.push_back({line, "fleet.drift", "is not below claim: no claim could ever be used"});
  const auto me = std::ranges::find(m.members, name, &cluster::Member::name);
  if (me == m.members.end())
    faults.push_back(
        {line, "fleet.name", "expected the name of one of [[fleet.member]], found '" + name + "'"});
  m.ownIndex = static_cast<std::uint32_t>(me - m.members.begin());
  out.cluster = std::move(m);
}

} // namespace myrtlehead::settings
