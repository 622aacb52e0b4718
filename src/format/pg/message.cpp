#include "format/pg/message.h"

#include <algorithm>

namespace myrtlehead::pg {

namespace {

// Codes that stand in place of a protocol version.
constexpr std::uint32_t kCancelRequest = 80877102;
constexpr std::uint32_t kSslRequest = 80877103;
constexpr std::uint32_t kGssRequest = 80877104;
constexpr std::uint32_t kProtocolVersion = 3 << 16; // 3.0
constexpr std::size_t kMaxStartupBytes = 10'000;
constexpr std::size_t kMinStartupBytes = 8; // length and version
constexpr std::size_t kLengthBytes = 4;     // the length counts itself, not the type
constexpr std::size_t kHeaderBytes = 5;     // type and length
constexpr std::uint32_t kTextOid = 25;

std::uint32_t readInt32(std::string_view at) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < 4; ++i) value = value << 8 | static_cast<std::uint8_t>(at[i]);
  return value;
}

void addInt16(std::string &out, std::uint32_t value) {
  for (const int shift : {8, 0}) out += static_cast<char>(value >> shift);
}

void addInt32(std::string &out, std::uint32_t value) {
  for (const int shift : {24, 16, 8, 0}) out += static_cast<char>(value >> shift);
}

void addText(std::string &out, std::string_view text) {
  out += text;
  out += '\0';
}

} // namespace

Parsed parseMessage(std::string_view in, Message &out, std::size_t most) {
  if (in.size() < kHeaderBytes) return Parsed::more;
  const std::size_t length = readInt32(in.substr(1));
  if (length < kLengthBytes || length > most) return Parsed::bad;
  if (in.size() < length + 1) return Parsed::more;
  out = {in[0], in.substr(kHeaderBytes, length - kLengthBytes), length + 1};
  return Parsed::whole;
}

std::size_t announcedSize(std::string_view in) {
  return in.size() < kHeaderBytes ? 0 : readInt32(in.substr(1)) + std::size_t{1};
}

Parsed parseStartup(std::string_view in, Startup &out) {
  if (in.size() < kLengthBytes) return Parsed::more;
  const std::size_t length = readInt32(in);
  if (length < kMinStartupBytes || length > kMaxStartupBytes) return Parsed::bad;
  if (in.size() < length) return Parsed::more;
  const auto code = readInt32(in.substr(kLengthBytes));
  out.size = length;
  out.minor = static_cast<int>(code & 0xffff);
  out.kind = code == kSslRequest || code == kGssRequest ? Opening::encryption
             : code == kCancelRequest                   ? Opening::cancel
             : code >> 16 == kProtocolVersion >> 16     ? Opening::startup
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

constexpr int kMaxAsides = 32;                    // notices and parameters for one answer
constexpr std::size_t kMaxSmallBytes = 16 * 1024; // of a message without a value
constexpr std::size_t kMaxTagBytes = 64;
constexpr std::size_t kColumnBytes = 18;   // of a RowDescription, behind the name
constexpr std::size_t kRowHeaderBytes = 6; // of a DataRow: count of columns, length of the value
constexpr std::size_t kSqlStateLength = 5;
constexpr std::string_view kOneColumn("\0\1", 2); // the count of columns

bool describesOneColumn(std::string_view body) {
  std::string_view name;
  if (body.substr(0, 2) != kOneColumn) return false;
  body.remove_prefix(2);
  return takeText(body, name) && body.size() == kColumnBytes;
}

bool hasOneValue(std::string_view body) {
  return body.size() >= kRowHeaderBytes && body.substr(0, 2) == kOneColumn &&
         readInt32(body.substr(2)) == body.size() - kRowHeaderBytes;
}

// One printable text.
bool isTag(std::string_view body) {
  std::string_view text;
  if (!takeText(body, text) || !body.empty() || text.empty()) return false;
  return std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~'; });
}

// Fields of a type and a text each, closed by a zero, with an SQLSTATE among them.
bool isErrorBody(std::string_view body) {
  bool hasCode = false;
  std::string_view text;
  while (!body.empty() && body[0] != '\0') {
    const char type = body[0];
    body.remove_prefix(1);
    if (!takeText(body, text)) return false;
    if (type == 'C') hasCode = text.size() == kSqlStateLength;
  }
  return hasCode && body.size() == 1;
}

std::size_t maxBodyBytes(Reply::Part part) {
  if (part == Reply::row) return kMostRow;
  return part == Reply::complete || part == Reply::ready || part == Reply::empty ? kMaxTagBytes
                                                                                 : kMaxSmallBytes;
}

bool hasFormOf(Reply::Part part, std::string_view body) {
  switch (part) {
  case Reply::description:
    return describesOneColumn(body);
  case Reply::row:
    return hasOneValue(body);
  case Reply::complete:
    return isTag(body);
  case Reply::error:
    return isErrorBody(body);
  case Reply::ready:
    return body == "I";
  case Reply::empty:
    return body.empty();
  default:
    return true;
  }
}

} // namespace

Reply::Part Reply::partOf(char type) const {
  switch (type) {
  case 'S':
  case 'N':
    return aside;
  case 'T':
    return expected_ == anything ? description : bad;
  case 'D':
    return expected_ == rowDue ? row : bad;
  case 'C':
    return expected_ == completeDue ? complete : bad;
  case 'E':
    return expected_ != readyDue ? error : bad;
  case 'I':
    return expected_ == anything ? empty : bad;
  case 'Z':
    return expected_ == readyDue ? ready : bad;
  }
  return bad;
}

Reply::Expected Reply::after(Part part) const {
  switch (part) {
  case description:
    return rowDue;
  case row:
    return completeDue;
  case ready:
    return anything;
  case aside:
    return expected_;
  default:
    return readyDue;
  }
}

// Guards against noise, lengths that don't fit and values that never end: a message is rejected by its type
// and its announced size, before its rest is waited for or stored.
Reply::Part Reply::next(std::string_view in, Message &out) {
  if (in.empty()) return more;
  const auto part = partOf(in[0]);
  if (part == bad || announcedSize(in) > maxBodyBytes(part) + kHeaderBytes) return bad;
  const auto parsed = parseMessage(in, out, kMostRow);
  if (parsed == Parsed::more) return more;
  if (parsed == Parsed::bad || !hasFormOf(part, out.body)) return bad;
  if (part == aside && ++asides_ > kMaxAsides) return bad;
  if (part == ready) asides_ = 0;
  expected_ = after(part);
  return part;
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
  addInt32(out, static_cast<std::uint32_t>(body.size() + kLengthBytes));
  out += body;
}

void addStartup(std::string &out, std::string_view user, std::string_view database) {
  std::string body;
  addInt32(body, kProtocolVersion);
  addText(body, "user");
  addText(body, user);
  addText(body, "database");
  addText(body, database);
  addText(body, "");
  addInt32(out, static_cast<std::uint32_t>(body.size() + kLengthBytes));
  out += body;
}

void addQuery(std::string &out, std::string_view sql) {
  out += 'Q';
  addInt32(out, static_cast<std::uint32_t>(sql.size() + 1 + kLengthBytes));
  addText(out, sql);
}

void addWelcome(std::string &out, std::uint32_t process, std::uint32_t secret) {
  std::string body;
  addInt32(body, 0);
  addMessage(out, 'R', body); // AuthenticationOk
  const auto parameter = [&](std::string_view name, std::string_view value) {
    body.clear();
    addText(body, name);
    addText(body, value);
    addMessage(out, 'S', body);
  };
  parameter("server_version", "15.0");
  parameter("server_encoding", "UTF8");
  parameter("client_encoding", "UTF8");
  parameter("DateStyle", "ISO, MDY");
  parameter("integer_datetimes", "on");
  parameter("standard_conforming_strings", "on");
  body.clear();
  addInt32(body, process);
  addInt32(body, secret);
  addMessage(out, 'K', body);
}

void addOldestMinor(std::string &out) {
  std::string body;
  addInt32(body, kProtocolVersion);
  addInt32(body, 0);
  addMessage(out, 'v', body);
}

void addReady(std::string &out) { addMessage(out, 'Z', "I"); }

void addEmptyAnswer(std::string &out) { addMessage(out, 'I', ""); }

void addComplete(std::string &out, std::string_view tag) {
  std::string body;
  addText(body, tag);
  addMessage(out, 'C', body);
}

void addRow(std::string &out, std::string_view column, std::string_view value) {
  std::string body;
  addInt16(body, 1);
  addText(body, column);
  addInt32(body, 0); // of no table
  addInt16(body, 0);
  addInt32(body, kTextOid);
  addInt16(body, 0xffff);
  addInt32(body, 0xffffffff);
  addInt16(body, 0);
  addMessage(out, 'T', body);
  body.clear();
  addInt16(body, 1);
  addInt32(body, static_cast<std::uint32_t>(value.size()));
  body += value;
  addMessage(out, 'D', body);
}

void addError(std::string &out, const Complaint &complaint) {
  std::string body;
  const auto field = [&](char type, std::string_view text) {
    if (text.empty()) return;
    body += type;
    addText(body, text);
  };
  field('S', complaint.severity);
  field('V', complaint.severity);
  field('C', complaint.code);
  field('M', complaint.message);
  field('D', complaint.detail);
  body += '\0';
  addMessage(out, 'E', body);
}

} // namespace myrtlehead::pg
