#include "format/pg/message.h"

#include <algorithm>

namespace myrtlehead::pg {

namespace {

// Request codes that replace the protocol version in the first packet.
constexpr std::uint32_t kCancelRequest = 80877102;
constexpr std::uint32_t kSslRequest = 80877103;
constexpr std::uint32_t kGssRequest = 80877104;
constexpr std::uint32_t kProtocolVersion = 3 << 16; // 3.0
constexpr std::size_t kMaxStartupBytes = 10'000;
constexpr std::size_t kMinStartupBytes = 8; // length field and version
constexpr std::size_t kLengthBytes = 4;     // the length field counts itself but not the type
constexpr std::size_t kHeaderBytes = 5;     // type and length field
constexpr std::uint32_t kTextOid = 25;

std::uint32_t readUint32(std::string_view at) {
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

void addCString(std::string &out, std::string_view text) {
  out += text;
  out += '\0';
}

} // namespace

ParseStatus parseMessage(std::string_view in, Message &out, std::size_t maxBytes) {
  if (in.size() < kHeaderBytes) return ParseStatus::incomplete;
  const std::size_t length = readUint32(in.substr(1));
  if (length < kLengthBytes || length > maxBytes) return ParseStatus::malformed;
  if (in.size() < length + 1) return ParseStatus::incomplete;
  out = {in[0], in.substr(kHeaderBytes, length - kLengthBytes), length + 1};
  return ParseStatus::complete;
}

std::size_t announcedSize(std::string_view in) {
  return in.size() < kHeaderBytes ? 0 : readUint32(in.substr(1)) + std::size_t{1};
}

ParseStatus parseStartup(std::string_view in, Startup &out) {
  if (in.size() < kLengthBytes) return ParseStatus::incomplete;
  const std::size_t length = readUint32(in);
  if (length < kMinStartupBytes || length > kMaxStartupBytes) return ParseStatus::malformed;
  if (in.size() < length) return ParseStatus::incomplete;
  const auto code = readUint32(in.substr(kLengthBytes));
  out.size = length;
  out.minor = static_cast<int>(code & 0xffff);
  out.kind = code == kSslRequest || code == kGssRequest ? FirstPacketKind::encryptionRequest
             : code == kCancelRequest                   ? FirstPacketKind::cancelRequest
             : code >> 16 == kProtocolVersion >> 16     ? FirstPacketKind::startup
                                                        : FirstPacketKind::unknown;
  return ParseStatus::complete;
}

bool takeCString(std::string_view &body, std::string_view &text) {
  const auto end = body.find('\0');
  if (end == std::string_view::npos) return false;
  text = body.substr(0, end);
  body.remove_prefix(end + 1);
  return true;
}

namespace {

constexpr int kMaxAsynchronousMessages = 32;          // NoticeResponse and ParameterStatus per reply
constexpr std::size_t kMaxOtherBodyBytes = 16 * 1024; // for bodies without a row value
constexpr std::size_t kMaxTagBytes = 64;
constexpr std::size_t kColumnBytes = 18;   // a column's description after its name in a RowDescription
constexpr std::size_t kRowHeaderBytes = 6; // column count and value length in a DataRow
constexpr std::size_t kSqlStateLength = 5;
constexpr std::string_view kOneColumn("\0\1", 2); // a column count of 1

bool describesOneColumn(std::string_view body) {
  std::string_view name;
  if (body.substr(0, 2) != kOneColumn) return false;
  body.remove_prefix(2);
  return takeCString(body, name) && body.size() == kColumnBytes;
}

bool hasOneValue(std::string_view body) {
  return body.size() >= kRowHeaderBytes && body.substr(0, 2) == kOneColumn &&
         readUint32(body.substr(2)) == body.size() - kRowHeaderBytes;
}

// Checks for a single non-empty string of printable ASCII characters.
bool isCommandTag(std::string_view body) {
  std::string_view text;
  if (!takeCString(body, text) || !body.empty() || text.empty()) return false;
  return std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~'; });
}

// Checks for a null-terminated list of fields (type and string) that includes an SQLSTATE.
bool isErrorBody(std::string_view body) {
  bool hasCode = false;
  std::string_view text;
  while (!body.empty() && body[0] != '\0') {
    const char type = body[0];
    body.remove_prefix(1);
    if (!takeCString(body, text)) return false;
    if (type == 'C') hasCode = text.size() == kSqlStateLength;
  }
  return hasCode && body.size() == 1;
}

std::size_t maxBodyBytes(ReplyValidator::MessageKind kind) {
  if (kind == ReplyValidator::dataRow) return kMaxRowBytes;
  return kind == ReplyValidator::commandComplete || kind == ReplyValidator::readyForQuery ||
                 kind == ReplyValidator::emptyQuery
             ? kMaxTagBytes
             : kMaxOtherBodyBytes;
}

bool isValidBody(ReplyValidator::MessageKind kind, std::string_view body) {
  switch (kind) {
  case ReplyValidator::rowDescription:
    return describesOneColumn(body);
  case ReplyValidator::dataRow:
    return hasOneValue(body);
  case ReplyValidator::commandComplete:
    return isCommandTag(body);
  case ReplyValidator::errorResponse:
    return isErrorBody(body);
  case ReplyValidator::readyForQuery:
    return body == "I";
  case ReplyValidator::emptyQuery:
    return body.empty();
  default:
    return true;
  }
}

} // namespace

ReplyValidator::MessageKind ReplyValidator::kindOf(char type) const {
  switch (type) {
  case 'S':
  case 'N':
    return asynchronous;
  case 'T':
    return expected_ == replyStart ? rowDescription : unexpected;
  case 'D':
    return expected_ == rowExpected ? dataRow : unexpected;
  case 'C':
    return expected_ == completionExpected ? commandComplete : unexpected;
  case 'E':
    return expected_ != readyExpected ? errorResponse : unexpected;
  case 'I':
    return expected_ == replyStart ? emptyQuery : unexpected;
  case 'Z':
    return expected_ == readyExpected ? readyForQuery : unexpected;
  }
  return unexpected;
}

ReplyValidator::Expected ReplyValidator::expectedAfter(MessageKind kind) const {
  switch (kind) {
  case rowDescription:
    return rowExpected;
  case dataRow:
    return completionExpected;
  case readyForQuery:
    return replyStart;
  case asynchronous:
    return expected_;
  default:
    return readyExpected;
  }
}

// Rejects a message by its type and announced size before its remaining bytes are awaited or stored. This
// guards against garbage, inconsistent lengths and values that never end.
ReplyValidator::MessageKind ReplyValidator::next(std::string_view in, Message &out) {
  if (in.empty()) return incomplete;
  const auto kind = kindOf(in[0]);
  if (kind == unexpected || announcedSize(in) > maxBodyBytes(kind) + kHeaderBytes) return unexpected;
  const auto parsed = parseMessage(in, out, kMaxRowBytes);
  if (parsed == ParseStatus::incomplete) return incomplete;
  if (parsed == ParseStatus::malformed || !isValidBody(kind, out.body)) return unexpected;
  if (kind == asynchronous && ++asynchronousMessages_ > kMaxAsynchronousMessages) return unexpected;
  if (kind == readyForQuery) asynchronousMessages_ = 0;
  expected_ = expectedAfter(kind);
  return kind;
}

std::string_view errorCode(std::string_view body) {
  while (!body.empty() && body[0] != '\0') {
    const char field = body[0];
    std::string_view text;
    body.remove_prefix(1);
    if (!takeCString(body, text)) break;
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
  addCString(body, "user");
  addCString(body, user);
  addCString(body, "database");
  addCString(body, database);
  addCString(body, "");
  addInt32(out, static_cast<std::uint32_t>(body.size() + kLengthBytes));
  out += body;
}

void addQueryHeader(std::string &out, std::size_t sqlBytes) {
  out += 'Q';
  addInt32(out, static_cast<std::uint32_t>(sqlBytes + 1 + kLengthBytes));
}

void addQuery(std::string &out, std::string_view sql) {
  addQueryHeader(out, sql.size());
  addCString(out, sql);
}

void addSessionStart(std::string &out, std::uint32_t process, std::uint32_t secret) {
  std::string body;
  addInt32(body, 0);
  addMessage(out, 'R', body); // AuthenticationOk
  const auto parameter = [&](std::string_view name, std::string_view value) {
    body.clear();
    addCString(body, name);
    addCString(body, value);
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

void addNegotiateProtocolVersion(std::string &out) {
  std::string body;
  addInt32(body, kProtocolVersion);
  addInt32(body, 0);
  addMessage(out, 'v', body);
}

void addRepeatedParameter(std::string &out) {
  std::string body;
  addCString(body, "client_encoding");
  addCString(body, "UTF8");
  addMessage(out, 'S', body);
}

void addReadyForQuery(std::string &out) { addMessage(out, 'Z', "I"); }

void addEmptyQueryResponse(std::string &out) { addMessage(out, 'I', ""); }

void addCommandComplete(std::string &out, std::string_view tag) {
  std::string body;
  addCString(body, tag);
  addMessage(out, 'C', body);
}

void addRow(std::string &out, std::string_view column, std::string_view value) {
  std::string body;
  addInt16(body, 1);
  addCString(body, column);
  addInt32(body, 0); // the column belongs to no table
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

void addError(std::string &out, const ErrorFields &fields) {
  std::string body;
  const auto field = [&](char type, std::string_view text) {
    if (text.empty()) return;
    body += type;
    addCString(body, text);
  };
  field('S', fields.severity);
  field('V', fields.severity);
  field('C', fields.code);
  field('M', fields.message);
  field('D', fields.detail);
  body += '\0';
  addMessage(out, 'E', body);
}

} // namespace myrtlehead::pg
