#include "format/http/http.h"

#include <algorithm>
#include <charconv>

namespace myrtlehead::http {

namespace {

constexpr std::size_t kMostHead = 16 * 1024, kMostLine = 256, kMostEvent = 64 * 1024;
constexpr std::uint64_t kMostBody = 16 * 1024 * 1024;

std::string_view trimmed(std::string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t' || s.back() == '\r')) s.remove_suffix(1);
  return s;
}

std::string lower(std::string_view s) {
  std::string out(s);
  for (auto &c : out)
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  return out;
}

template <class N> bool number(std::string_view s, N &out, int base = 10) {
  const auto r = std::from_chars(s.data(), s.data() + s.size(), out, base);
  return !s.empty() && r.ec == std::errc{} && r.ptr == s.data() + s.size();
}

// The first line, and the fields behind it.
Parsed parseHead(std::string_view in, std::string &first, Head &out, std::size_t &size) {
  const auto end = in.find("\r\n\r\n");
  if (end == std::string_view::npos) return in.size() > kMostHead ? Parsed::bad : Parsed::more;
  if (end > kMostHead) return Parsed::bad;
  size = end + 4;
  out.fields.clear();
  auto rest = in.substr(0, end + 2);
  for (bool top = true; !rest.empty(); top = false) {
    const auto stop = rest.find("\r\n");
    const auto line = rest.substr(0, stop);
    rest.remove_prefix(stop + 2);
    if (top) {
      first = line;
      continue;
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0 || line[0] == ' ' || line[0] == '\t')
      return Parsed::bad;
    out.fields.emplace_back(lower(line.substr(0, colon)), trimmed(line.substr(colon + 1)));
  }
  return Parsed::whole;
}

bool hexDigit(char c, int &out) {
  out = c >= '0' && c <= '9'   ? c - '0'
        : c >= 'a' && c <= 'f' ? c - 'a' + 10
        : c >= 'A' && c <= 'F' ? c - 'A' + 10
                               : -1;
  return out >= 0;
}

bool decoded(std::string_view in, std::string &out) {
  for (std::size_t i = 0; i < in.size(); ++i) {
    int high = 0, low = 0;
    if (in[i] != '%') {
      out += in[i] == '+' ? ' ' : in[i];
    } else if (i + 2 < in.size() && hexDigit(in[i + 1], high) && hexDigit(in[i + 2], low)) {
      out += static_cast<char>(16 * high + low);
      i += 2;
    } else {
      return false;
    }
  }
  return true;
}

std::string encoded(std::string_view in) {
  std::string out;
  for (const char c : in) {
    const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                       c == '-' || c == '.' || c == '_' || c == '~';
    constexpr const char *kHex = "0123456789ABCDEF";
    const auto byte = static_cast<unsigned char>(c);
    if (plain)
      out += c;
    else
      out += {'%', kHex[byte >> 4], kHex[byte & 15]};
  }
  return out;
}

} // namespace

std::string_view value(const Fields &fields, std::string_view name) {
  for (const auto &[n, v] : fields)
    if (n == name) return v;
  return {};
}

std::string_view Head::field(std::string_view name) const { return value(fields, name); }

Parsed parseRequest(std::string_view in, Head &out, std::size_t &size) {
  std::string first;
  const auto parsed = parseHead(in, first, out, size);
  if (parsed != Parsed::whole) return parsed;
  const auto a = first.find(' '), b = first.rfind(' ');
  if (a == std::string::npos || a == b || first.compare(b + 1, 7, "HTTP/1.") != 0) return Parsed::bad;
  out.method = first.substr(0, a);
  out.target = first.substr(a + 1, b - a - 1);
  return Parsed::whole;
}

Parsed parseAnswer(std::string_view in, Head &out, std::size_t &size) {
  std::string first;
  const auto parsed = parseHead(in, first, out, size);
  if (parsed != Parsed::whole) return parsed;
  const std::string_view line = first;
  if (line.substr(0, 7) != "HTTP/1." || line.size() < 12 || line[8] != ' ' ||
      !number(line.substr(9, 3), out.status) || (line.size() > 12 && line[12] != ' ') || out.status < 100)
    return Parsed::bad;
  return Parsed::whole;
}

Body::Body(const Head &head, bool request) {
  const auto size = head.field("content-length");
  if (!head.field("transfer-encoding").empty())
    form_ = lower(head.field("transfer-encoding")) == "chunked" ? chunked : broken;
  else if (!size.empty())
    form_ = number(size, left_) && left_ <= kMostBody ? length : broken;
  else if (!request && head.status != 204 && head.status != 304)
    form_ = toEnd;
}

// The lines between chunks: a size, the end of the data, the trailers.
Parsed Body::chunkLine(std::string_view in, std::size_t &used) {
  const auto end = in.find("\r\n");
  if (end == std::string_view::npos) return in.size() > kMostLine ? Parsed::bad : Parsed::more;
  const auto line = in.substr(0, end);
  used = end + 2;
  if (place_ == dataEnd) {
    place_ = sizeLine;
    return line.empty() ? Parsed::whole : Parsed::bad;
  }
  if (place_ == trailer) return Parsed::whole;
  if (!number(trimmed(line.substr(0, line.find(';'))), left_, 16) || left_ > kMostBody) return Parsed::bad;
  place_ = left_ == 0 ? trailer : data;
  return Parsed::whole;
}

Parsed Body::take(std::string_view in, std::string &content, std::size_t &used) {
  used = 0;
  const auto copy = [&](std::uint64_t most) {
    const auto n = static_cast<std::size_t>(std::min<std::uint64_t>(most, in.size() - used));
    content += in.substr(used, n);
    used += n;
    return n;
  };
  if (form_ == broken) return Parsed::bad;
  if (form_ == toEnd) {
    copy(in.size());
    return Parsed::more;
  }
  if (form_ == length) {
    left_ -= copy(left_);
    return left_ == 0 ? Parsed::whole : Parsed::more;
  }
  for (;;) {
    if (place_ == data) {
      left_ -= copy(left_);
      if (left_ > 0) return Parsed::more;
      place_ = dataEnd;
      continue;
    }
    const bool last = place_ == trailer;
    std::size_t line = 0;
    const auto parsed = chunkLine(in.substr(used), line);
    if (parsed != Parsed::whole) return parsed;
    used += line;
    if (last && line == 2) return Parsed::whole;
  }
}

bool parseForm(std::string_view text, Fields &out) {
  while (!text.empty()) {
    const auto end = std::min(text.find('&'), text.size());
    const auto item = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    const auto eq = item.find('=');
    if (eq == std::string_view::npos || eq == 0) return false;
    std::string name, value;
    if (!decoded(item.substr(0, eq), name) || !decoded(item.substr(eq + 1), value)) return false;
    out.emplace_back(std::move(name), std::move(value));
  }
  return true;
}

std::string writeForm(const Fields &fields) {
  std::string out;
  for (const auto &[name, value] : fields) {
    if (!out.empty()) out += '&';
    out += encoded(name) + '=' + encoded(value);
  }
  return out;
}

bool takeLine(std::string &text, std::string &line) {
  const auto end = text.find('\n');
  if (end == std::string::npos) return false;
  line.assign(text, 0, end > 0 && text[end - 1] == '\r' ? end - 1 : end);
  text.erase(0, end + 1);
  return true;
}

Taken takeEvent(std::string &text, Event &out) {
  for (;;) {
    // Whole events only: the blank line that ends one must be there.
    std::size_t end = 0, at = 0;
    for (bool ended = false; !ended; at = end + 1) {
      end = text.find('\n', at);
      if (end == std::string::npos) return text.size() > kMostEvent ? Taken::unreadable : Taken::none;
      const auto size = end - at;
      ended = size == 0 || (size == 1 && text[at] == '\r');
    }
    out = {};
    std::string line;
    bool any = false;
    while (takeLine(text, line) && !line.empty()) {
      const auto colon = std::min(line.find(':'), line.size());
      const auto name = line.substr(0, colon);
      if (name != "event" && name != "data" && name != "id" && name != "retry" && !name.empty())
        return Taken::unreadable;
      auto value = line.substr(std::min(colon + 1, line.size()));
      if (!value.empty() && value[0] == ' ') value.erase(0, 1);
      if (name == "event") out.name = value;
      if (name != "data") continue;
      if (any) out.data += '\n';
      out.data += value;
      any = true;
    }
    if (any) return Taken::event; // one without data is no event
  }
}

namespace {

bool unescaped(std::string_view in, std::string &out) {
  constexpr std::pair<std::string_view, char> kNames[] = {
      {"amp", '&'}, {"lt", '<'}, {"gt", '>'}, {"quot", '"'}, {"apos", '\''}};
  while (!in.empty()) {
    const auto amp = std::min(in.find('&'), in.size());
    out += in.substr(0, amp);
    in.remove_prefix(amp);
    if (in.empty()) return true;
    const auto end = in.find(';');
    if (end == std::string_view::npos) return false;
    const auto name = in.substr(1, end - 1);
    const auto *known = std::find_if(std::begin(kNames), std::end(kNames),
                                     [&](auto &n) { return n.first == name; });
    if (known == std::end(kNames)) return false;
    out += known->second;
    in.remove_prefix(end + 1);
  }
  return true;
}

} // namespace

bool parseXml(std::string_view text, Fields &leaves) {
  std::vector<std::string_view> open;
  std::string content;
  bool leaf = false, seen = false;
  while (!text.empty()) {
    const auto lt = std::min(text.find('<'), text.size());
    if (!unescaped(text.substr(0, lt), content)) return false;
    text.remove_prefix(lt);
    if (text.empty()) break;
    const auto gt = text.find('>');
    if (gt == std::string_view::npos || gt < 2) return false;
    auto tag = text.substr(1, gt - 1);
    text.remove_prefix(gt + 1);
    if (tag[0] == '?' || tag[0] == '!') continue; // a declaration
    if (tag[0] == '/') {
      const auto name = trimmed(tag.substr(1));
      if (open.empty() || open.back() != name) return false;
      if (leaf) leaves.emplace_back(name, trimmed(content));
      open.pop_back();
      leaf = false;
    } else if (tag.back() == '/') {
      if (tag.size() < 2) return false;
      leaves.emplace_back(tag.substr(0, tag.find_first_of(" \t/")), "");
      leaf = false;
    } else {
      if (open.empty() && seen) return false;
      open.push_back(tag.substr(0, tag.find_first_of(" \t\r\n")));
      leaf = seen = true;
    }
    content.clear();
  }
  return open.empty() && seen;
}

std::string writeRequest(std::string_view method, std::string_view target, std::string_view host,
                         std::string_view form) {
  std::string out;
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\nHost: ").append(host).append("\r\n");
  if (!form.empty())
    out.append("Content-Type: application/x-www-form-urlencoded\r\nContent-Length: ")
        .append(std::to_string(form.size()))
        .append("\r\n");
  return out.append("\r\n").append(form);
}

} // namespace myrtlehead::http
