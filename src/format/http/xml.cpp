#include "format/http/xml.h"

#include "format/http/text.h"

#include <algorithm>

namespace myrtlehead::http {

namespace {

// Appends `in` to `out` with its entities resolved. Returns false if an entity is unknown or not terminated.
bool appendUnescaped(std::string_view in, std::string &out) {
  constexpr std::pair<std::string_view, char> kEntities[] = {
      {"amp", '&'}, {"lt", '<'}, {"gt", '>'}, {"quot", '"'}, {"apos", '\''}};
  while (!in.empty()) {
    const auto ampersand = std::min(in.find('&'), in.size());
    out += in.substr(0, ampersand);
    in.remove_prefix(ampersand);
    if (in.empty()) return true;
    const auto end = in.find(';');
    if (end == std::string_view::npos) return false;
    const auto name = in.substr(1, end - 1);
    const auto *known = std::find_if(std::begin(kEntities), std::end(kEntities),
                                     [&](auto &entity) { return entity.first == name; });
    if (known == std::end(kEntities)) return false;
    out += known->second;
    in.remove_prefix(end + 1);
  }
  return true;
}

} // namespace

bool parseXml(std::string_view text, Fields &leaves) {
  std::vector<std::string_view> openElements;
  std::string content;
  bool isLeaf = false; // true while the innermost open element has no child element
  bool hasRoot = false;
  while (!text.empty()) {
    const auto tagStart = std::min(text.find('<'), text.size());
    if (!appendUnescaped(text.substr(0, tagStart), content)) return false;
    text.remove_prefix(tagStart);
    if (text.empty()) break;
    const auto tagEnd = text.find('>');
    if (tagEnd == std::string_view::npos || tagEnd < 2) return false;
    auto tag = text.substr(1, tagEnd - 1);
    text.remove_prefix(tagEnd + 1);
    if (tag[0] == '?' || tag[0] == '!') continue; // skips XML declarations, comments and DOCTYPE
    if (tag[0] == '/') {
      const auto name = trimmed(tag.substr(1));
      if (openElements.empty() || openElements.back() != name) return false;
      if (isLeaf) leaves.emplace_back(name, trimmed(content));
      openElements.pop_back();
      isLeaf = false;
    } else if (tag.back() == '/') {
      if (tag.size() < 2) return false;
      leaves.emplace_back(tag.substr(0, tag.find_first_of(" \t/")), "");
      isLeaf = false;
    } else {
      if (openElements.empty() && hasRoot) return false;
      openElements.push_back(tag.substr(0, tag.find_first_of(" \t\r\n")));
      isLeaf = true;
      hasRoot = true;
    }
    content.clear();
  }
  return openElements.empty() && hasRoot;
}

} // namespace myrtlehead::http
