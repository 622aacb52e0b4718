#include "format/pg/message.h"

#include <algorithm>

namespace myrtlehead::pg {

namespace {

constexpr std::uint32_t kEncryption = 80877103, kGssEncryption = 80877104, kCancel = 80877102;
constexpr std::size_t kMostStartup = 10'000;

std::uint32_t number(std::string_view at) {
  std::uint32_t v = 0;
  for (std::size_t i = 0; i < 4; ++i) v = v << 8 | static_cast<std::uint8_t>(at[i]);
  return v;
}

void put(std::string &out, std::uint32_t v, int bytes = 4) {
  while (bytes-- > 0) out += static_cast<char>(v >> (8 * bytes));
}

void putText(std::string &out, std::string_view text) {
  out += text;
  out += '\0';
}

} // namespace

Parsed parseMessage(std::string_view in, Message &out, std::size_t most) {
  if (in.size() < 5) return Parsed::more;
  const std::size_t length = number(in.substr(1));
  if (length < 4 || length > most) return Parsed::bad;
  if (in.size() < length + 1) return Parsed::more;
  out = {in[0], in.substr(5, length - 4), length + 1};
  return Parsed::whole;
}

std::size_t announcedSize(std::string_view in) {
  return in.size() < 5 ? 0 : number(in.substr(1)) + std::size_t{1};
}

Parsed parseStartup(std::string_view in, Startup &out) {
  if (in.size() < 4) return Parsed::more;
  const std::size_t length = number(in);
  if (length < 8 || length > kMostStartup) return Parsed::bad;
  if (in.size() < length) return Parsed::more;
  const auto code = number(in.substr(4));
  out.size = length;
  out.minor = static_cast<int>(code & 0xffff);
  out.kind = code == kEncryption || code == kGssEncryption ? Opening::encryption
             : code == kCancel                             ? Opening::cancel
             : code >> 16 == 3                             ? Opening::startup
                                                           : Opening::unknown;
  return Parsed::whole;
}

bool takeText(std::string_view &body, std::string_view &text) {
  const auto end = body.find('\0');
  if (end == std::string_view::npos) return false;
  text = body.substr(0, end);
  body.remove_prefix(end + 1);
  return true;
}

namespace {

constexpr int kMostAsides = 32;                              // notices and parameters for one answer
constexpr std::size_t kMostSmall = 16 * 1024, kMostTag = 64; // messages without a value
constexpr std::size_t kColumn = 18;                          // of a RowDescription, behind the name
constexpr std::string_view kOne("\0\1", 2);                  // one column

bool oneColumn(std::string_view body) {
  std::string_view name;
  if (body.substr(0, 2) != kOne) return false;
  body.remove_prefix(2);
  return takeText(body, name) && body.size() == kColumn;
}

bool oneValue(std::string_view body) {
  return body.size() >= 6 && body.substr(0, 2) == kOne && number(body.substr(2)) == body.size() - 6;
}

bool tag(std::string_view body) {
  std::string_view text;
  if (!takeText(body, text) || !body.empty() || text.empty()) return false;
  return std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~'; });
}

// Fields of a type and a text each, closed by a zero, with an SQLSTATE among them.
bool complaint(std::string_view body) {
  bool code = false;
  std::string_view text;
  while (!body.empty() && body[0] != '\0') {
    const char type = body[0];
    body.remove_prefix(1);
    if (!takeText(body, text)) return false;
    if (type == 'C') code = text.size() == 5;
  }
  return code && body.size() == 1;
}

std::size_t mostOf(Reply::Part part) {
  if (part == Reply::row) return kMostRow;
  return part == Reply::complete || part == Reply::ready || part == Reply::empty ? kMostTag : kMostSmall;
}

bool fits(Reply::Part part, std::string_view body) {
  switch (part) {
  case Reply::description:
    return oneColumn(body);
  case Reply::row:
    return oneValue(body);
  case Reply::complete:
    return tag(body);
  case Reply::error:
    return complaint(body);
  case Reply::ready:
    return body == "I";
  case Reply::empty:
    return body.empty();
  default:
    return true;
  }
}

} // namespace

Reply::Part Reply::part(char type) const {
  switch (type) {
  case 'S':
  case 'N':
    return aside;
  case 'T':
    return due_ == anything ? description : bad;
  case 'D':
    return due_ == rowDue ? row : bad;
  case 'C':
    return due_ == completeDue ? complete : bad;
  case 'E':
    return due_ != readyDue ? error : bad;
  case 'I':
    return due_ == anything ? empty : bad;
  case 'Z':
    return due_ == readyDue ? ready : bad;
  }
  return bad;
}

// Guards against noise, lengths that don't fit and values that never end: a message is refused by its type
// and its announced size, before its rest is waited for or held.
Reply::Part Reply::next(std::string_view in, Message &out) {
  if (in.empty()) return more;
  const auto is = part(in[0]);
  if (is == bad || announcedSize(in) > mostOf(is) + 5) return bad;
  const auto parsed = parseMessage(in, out, kMostRow);
  if (parsed == Parsed::more) return more;
  if (parsed == Parsed::bad || !fits(is, out.body) || (is == aside && ++asides_ > kMostAsides)) return bad;
  if (is != aside)
    due_ = is == description ? rowDue : is == row ? completeDue : is == ready ? anything : readyDue;
  if (is == ready) asides_ = 0;
  return is;
}

std::string_view errorCode(std::string_view body) {
  while (!body.empty() && body[0] != '\0') {
    const char field = body[0];
    std::string_view text;
    body.remove_prefix(1);
    if (!takeText(body, text)) break;
    if (field == 'C') return text;
  }
  return {};
}

void addMessage(std::string &out, char type, std::string_view body) {
  out += type;
  put(out, static_cast<std::uint32_t>(body.size() + 4));
  out += body;
}

void addStartup(std::string &out, std::string_view user, std::string_view database) {
  std::string body;
  put(body, 3 << 16);
  putText(body, "user");
  putText(body, user);
  putText(body, "database");
  putText(body, database);
  putText(body, "");
  put(out, static_cast<std::uint32_t>(body.size() + 4));
  out += body;
}

void addQuery(std::string &out, std::string_view sql) {
  out += 'Q';
  put(out, static_cast<std::uint32_t>(sql.size() + 5));
  putText(out, sql);
}

void addWelcome(std::string &out, std::uint32_t process, std::uint32_t secret) {
  std::string body;
  put(body, 0);
  addMessage(out, 'R', body); // AuthenticationOk
  const auto parameter = [&](std::string_view name, std::string_view value) {
    body.clear();
    putText(body, name);
    putText(body, value);
    addMessage(out, 'S', body);
  };
  parameter("server_version", "15.0");
  parameter("server_encoding", "UTF8");
  parameter("client_encoding", "UTF8");
  parameter("DateStyle", "ISO, MDY");
  parameter("integer_datetimes", "on");
  parameter("standard_conforming_strings", "on");
  body.clear();
  put(body, process);
  put(body, secret);
  addMessage(out, 'K', body);
}

void addOldestMinor(std::string &out) {
  std::string body;
  put(body, 3 << 16);
  put(body, 0);
  addMessage(out, 'v', body);
}

void addReady(std::string &out) { addMessage(out, 'Z', "I"); }

void addEmptyAnswer(std::string &out) { addMessage(out, 'I', ""); }

void addComplete(std::string &out, std::string_view tag) {
  std::string body;
  putText(body, tag);
  addMessage(out, 'C', body);
}

void addRow(std::string &out, std::string_view column, std::string_view value) {
  std::string body;
  put(body, 1, 2);
  putText(body, column);
  put(body, 0); // of no table
  put(body, 0, 2);
  put(body, 25); // text
  put(body, 0xffff, 2);
  put(body, 0xffffffff);
  put(body, 0, 2);
  addMessage(out, 'T', body);
  body.clear();
  put(body, 1, 2);
  put(body, static_cast<std::uint32_t>(value.size()));
  body += value;
  addMessage(out, 'D', body);
}

void addError(std::string &out, const Complaint &c) {
  std::string body;
  const auto field = [&](char type, std::string_view text) {
    if (text.empty()) return;
    body += type;
    putText(body, text);
  };
  field('S', c.severity);
  field('V', c.severity);
  field('C', c.code);
  field('M', c.message);
  field('D', c.detail);
  body += '\0';
  addMessage(out, 'E', body);
}

} // namespace myrtlehead::pg
