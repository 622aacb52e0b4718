#include "format/http/http.h"

#include "format/http/text.h"

#include <algorithm>
#include <charconv>

namespace myrtlehead::http {

namespace {

constexpr std::string_view kVersion = "HTTP/1.";
constexpr std::size_t kMaxHeadBytes = 16 * 1024;
constexpr std::size_t kMaxChunkLineBytes = 256;
constexpr std::uint64_t kMaxBodyBytes = 16 * 1024 * 1024; // of a Content-Length or of one chunk

std::string lowerCase(std::string_view text) {
  std::string out(text);
  for (auto &c : out)
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  return out;
}

// Parses the whole text as a number. Returns false if the text is empty or has other characters.
template <class Number> bool parseNumber(std::string_view text, Number &out, int base = 10) {
  const auto result = std::from_chars(text.data(), text.data() + text.size(), out, base);
  return !text.empty() && result.ec == std::errc{} && result.ptr == text.data() + text.size();
}

// Parses the first line and the fields of a request or response head.
ParseStatus parseHead(std::string_view in, std::string &firstLine, Head &out, std::size_t &size) {
  const auto end = in.find("\r\n\r\n");
  if (end == std::string_view::npos)
    return in.size() > kMaxHeadBytes ? ParseStatus::malformed : ParseStatus::incomplete;
  if (end > kMaxHeadBytes) return ParseStatus::malformed;
  size = end + 4;
  out.fields.clear();
  auto rest = in.substr(0, end + 2);
  for (bool isFirst = true; !rest.empty(); isFirst = false) {
    const auto lineEnd = rest.find("\r\n");
    const auto line = rest.substr(0, lineEnd);
    rest.remove_prefix(lineEnd + 2);
    if (isFirst) {
      firstLine = line;
      continue;
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0 || line[0] == ' ' || line[0] == '\t')
      return ParseStatus::malformed;
    out.fields.emplace_back(lowerCase(line.substr(0, colon)), trimmed(line.substr(colon + 1)));
  }
  return ParseStatus::complete;
}

} // namespace

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t' || text.back() == '\r'))
    text.remove_suffix(1);
  return text;
}

std::string_view Head::field(std::string_view name) const { return value(fields, name); }

ParseStatus parseRequest(std::string_view in, Head &out, std::size_t &size) {
  std::string line;
  const auto parsed = parseHead(in, line, out, size);
  if (parsed != ParseStatus::complete) return parsed;
  const auto methodEnd = line.find(' ');
  const auto targetEnd = line.rfind(' ');
  if (methodEnd == std::string::npos || methodEnd == targetEnd ||
      line.compare(targetEnd + 1, kVersion.size(), kVersion) != 0)
    return ParseStatus::malformed;
  out.method = line.substr(0, methodEnd);
  out.target = line.substr(methodEnd + 1, targetEnd - methodEnd - 1);
  return ParseStatus::complete;
}

ParseStatus parseResponse(std::string_view in, Head &out, std::size_t &size) {
  std::string firstLine;
  const auto parsed = parseHead(in, firstLine, out, size);
  if (parsed != ParseStatus::complete) return parsed;
  const std::string_view line = firstLine; // "HTTP/1.1 200 OK"
  if (line.substr(0, kVersion.size()) != kVersion || line.size() < 12 || line[8] != ' ' ||
      !parseNumber(line.substr(9, 3), out.status) || (line.size() > 12 && line[12] != ' ') ||
      out.status < 100)
    return ParseStatus::malformed;
  return ParseStatus::complete;
}

BodyDecoder::BodyDecoder(const Head &head, bool isRequest) {
  const auto size = head.field("content-length");
  if (!head.field("transfer-encoding").empty())
    framing_ = lowerCase(head.field("transfer-encoding")) == "chunked" ? chunked : malformed;
  else if (!size.empty())
    framing_ = parseNumber(size, remainingBytes_) && remainingBytes_ <= kMaxBodyBytes ? fixedLength
                                                                                      : malformed;
  else if (!isRequest && head.status != 204 && head.status != 304)
    framing_ = untilClose;
}

// Decodes one line of the chunked framing: a chunk size, the line end after chunk data, or a trailer.
ParseStatus BodyDecoder::decodeChunkLine(std::string_view in, std::size_t &used) {
  const auto end = in.find("\r\n");
  if (end == std::string_view::npos)
    return in.size() > kMaxChunkLineBytes ? ParseStatus::malformed : ParseStatus::incomplete;
  const auto line = in.substr(0, end);
  used = end + 2;
  if (chunkState_ == dataEnd) {
    chunkState_ = sizeLine;
    return line.empty() ? ParseStatus::complete : ParseStatus::malformed;
  }
  if (chunkState_ == trailer) return ParseStatus::complete;
  if (!parseNumber(trimmed(line.substr(0, line.find(';'))), remainingBytes_, 16) ||
      remainingBytes_ > kMaxBodyBytes)
    return ParseStatus::malformed;
  chunkState_ = remainingBytes_ == 0 ? trailer : data;
  return ParseStatus::complete;
}

namespace {

// Appends at most `maxBytes` bytes of `in`, starting at offset `used`, to `content`. Advances `used` and
// returns the number of appended bytes.
std::size_t appendBytes(std::string_view in, std::uint64_t maxBytes, std::string &content,
                        std::size_t &used) {
  const auto count = static_cast<std::size_t>(std::min<std::uint64_t>(maxBytes, in.size() - used));
  content += in.substr(used, count);
  used += count;
  return count;
}

} // namespace

ParseStatus BodyDecoder::decode(std::string_view in, std::string &content, std::size_t &used) {
  used = 0;
  switch (framing_) {
  case malformed:
    return ParseStatus::malformed;
  case untilClose:
    appendBytes(in, in.size(), content, used);
    return ParseStatus::incomplete;
  case fixedLength:
    remainingBytes_ -= appendBytes(in, remainingBytes_, content, used);
    return remainingBytes_ == 0 ? ParseStatus::complete : ParseStatus::incomplete;
  case chunked:
    break;
  }
  return decodeChunks(in, content, used);
}

ParseStatus BodyDecoder::decodeChunks(std::string_view in, std::string &content, std::size_t &used) {
  constexpr std::size_t kBlankLineBytes = 2;
  for (;;) {
    if (chunkState_ == data) {
      remainingBytes_ -= appendBytes(in, remainingBytes_, content, used);
      if (remainingBytes_ > 0) return ParseStatus::incomplete;
      chunkState_ = dataEnd;
      continue;
    }
    const bool isTrailer = chunkState_ == trailer;
    std::size_t lineSize = 0;
    const auto parsed = decodeChunkLine(in.substr(used), lineSize);
    if (parsed != ParseStatus::complete) return parsed;
    used += lineSize;
    if (isTrailer && lineSize == kBlankLineBytes) return ParseStatus::complete;
  }
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
