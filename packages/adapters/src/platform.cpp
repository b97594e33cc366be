// platform_log and platform_instance_list: HTTP clients of the platform.
#include "tamarack/adapters.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <msgpack.hpp>

#include <charconv>
#include <sstream>

namespace tamarack::adapters {

namespace {

constexpr int StatusOk = 200;
constexpr int ConnectTimeoutMs = 1000;
constexpr int ResponseTimeoutMs = 5000; // Of all requests but long polls.
constexpr int LongPollMarginMs = 5000;  // Added to the duration of a long poll
                                        // for its response timeout.

// Sends Request and returns the response. Throws log_unavailable unless the
// status is 200.
http_response sendToPlatform(endpoint_client &Client, const std::string &Url,
                             const endpoint_request &Request) {
  try {
    http_response Response = fetch(Client, Url, Request);
    if (Response.Status == StatusOk)
      return Response;
    throw log_unavailable("the platform responded with status " +
                          std::to_string(Response.Status));
  } catch (const endpoint_unreached &Error) {
    throw log_unavailable(Error.what());
  } catch (const endpoint_disconnected &Error) {
    throw log_unavailable(Error.what());
  }
}

// Throws log_unavailable unless a reader of the records from From on comes
// further with Page. Readers go on until they have all, without a pause.
void requireProgress(const log_page &Page, std::uint64_t From) {
  if (Page.Trimmed) {
    if (Page.OldestOffset <= From)
      throw log_unavailable("the platform's log calls records deleted that it "
                            "still has");
    return;
  }
  if (Page.Records.empty() && Page.NextOffset > From)
    throw log_unavailable("the platform's log page lacks its records");
  std::uint64_t Expected = From;
  for (const log_record &Record : Page.Records)
    if (Record.Offset != Expected++)
      throw log_unavailable("the platform's log page has other records than "
                            "were asked for");
}

} // namespace

byte_string encodePage(const log_page &Page) {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Packer(Buffer);
  Packer.pack_array(4);
  Packer.pack(Page.OldestOffset);
  Packer.pack(Page.NextOffset);
  Packer.pack(Page.Trimmed);
  Packer.pack_array(static_cast<std::uint32_t>(Page.Records.size()));
  for (const log_record &Record : Page.Records) {
    const std::uint32_t Size = static_cast<std::uint32_t>(Record.Body.size());
    Packer.pack_array(3);
    Packer.pack(Record.Offset);
    Packer.pack(Record.Time);
    Packer.pack_bin(Size);
    Packer.pack_bin_body(reinterpret_cast<const char *>(Record.Body.data()),
                         Size);
  }
  const std::uint8_t *Data =
      reinterpret_cast<const std::uint8_t *>(Buffer.data());
  return byte_string(Data, Data + Buffer.size());
}

std::optional<log_page> decodePage(byte_view Bytes) {
  using row =
      msgpack::type::tuple<std::uint64_t, std::int64_t, msgpack::type::raw_ref>;
  using page = msgpack::type::tuple<std::uint64_t, std::uint64_t, bool,
                                    std::vector<row>>;
  try {
    const std::size_t Size = Bytes.size();
    // Rejects arrays, maps, strings and byte strings that announce more items
    // than Bytes has bytes.
    const msgpack::unpack_limit Limit(Size, Size, Size, Size, Size);
    const msgpack::object_handle Handle =
        msgpack::unpack(reinterpret_cast<const char *>(Bytes.data()), Size,
                        nullptr, nullptr, Limit);
    const page Decoded = Handle.get().as<page>();
    log_page Page;
    Page.OldestOffset = Decoded.get<0>();
    Page.NextOffset = Decoded.get<1>();
    Page.Trimmed = Decoded.get<2>();
    for (const row &Row : Decoded.get<3>()) {
      const msgpack::type::raw_ref &Body = Row.get<2>();
      Page.Records.push_back({Row.get<0>(), Row.get<1>(),
                              byte_string(Body.ptr, Body.ptr + Body.size)});
    }
    return Page;
  } catch (const msgpack::unpack_error &) {
    return std::nullopt;
  } catch (const msgpack::type_error &) {
    return std::nullopt;
  }
}

platform_log::platform_log(endpoint_client &Client, std::string Url)
    : Client(Client), Url(std::move(Url)) {}

std::uint64_t platform_log::append(std::string_view Stream, byte_view Body) {
  endpoint_request Request;
  Request.Path = "/log/" + std::string(Stream);
  Request.Body.assign(Body.begin(), Body.end());
  Request.ConnectTimeoutMs = ConnectTimeoutMs;
  Request.ReadTimeoutMs = ResponseTimeoutMs;
  const http_response Response = sendToPlatform(Client, Url, Request);
  std::uint64_t Offset = 0;
  const char *End = Response.Body.data() + Response.Body.size();
  const std::from_chars_result Parsed =
      std::from_chars(Response.Body.data(), End, Offset);
  if (Parsed.ec != std::errc())
    throw log_unavailable(
        "the platform's response to an append is not an offset");
  return Offset;
}

log_page platform_log::read(std::string_view Stream, std::uint64_t From,
                            int WaitMs) {
  endpoint_request Request;
  Request.Method = "GET";
  Request.Path = "/log/" + std::string(Stream) +
                 "?from=" + std::to_string(From) +
                 "&wait_ms=" + std::to_string(WaitMs);
  Request.ConnectTimeoutMs = ConnectTimeoutMs;
  Request.ReadTimeoutMs = WaitMs + LongPollMarginMs;
  const http_response Response = sendToPlatform(Client, Url, Request);
  const byte_view Bytes(
      reinterpret_cast<const std::uint8_t *>(Response.Body.data()),
      Response.Body.size());
  std::optional<log_page> Page = decodePage(Bytes);
  if (!Page)
    throw log_unavailable(
        "the platform's response to a read is not a log page");
  requireProgress(*Page, From);
  return std::move(*Page);
}

platform_instance_list::platform_instance_list(endpoint_client &Client,
                                               std::string Url)
    : Client(Client), Url(std::move(Url)) {}

std::vector<instance_info> platform_instance_list::list() {
  endpoint_request Request;
  Request.Method = "GET";
  Request.Path = "/instances";
  Request.ConnectTimeoutMs = ConnectTimeoutMs;
  Request.ReadTimeoutMs = ResponseTimeoutMs;
  const http_response Response = sendToPlatform(Client, Url, Request);
  std::vector<instance_info> Result;
  try {
    Poco::JSON::Parser Parser;
    const Poco::JSON::Array::Ptr Rows =
        Parser.parse(Response.Body).extract<Poco::JSON::Array::Ptr>();
    for (unsigned Index = 0; Index < Rows->size(); ++Index) {
      const Poco::JSON::Object::Ptr Row = Rows->getObject(Index);
      instance_info Info;
      Info.Name = Row->getValue<std::string>("name");
      Info.Zone = Row->getValue<std::string>("zone");
      Info.PeerUrl = Row->optValue<std::string>("peer_url", "");
      Info.HttpUrl = Row->optValue<std::string>("http_url", "");
      Info.Leaving = Row->optValue<bool>("leaving", false);
      Result.push_back(std::move(Info));
    }
  } catch (const Poco::Exception &Error) {
    throw log_unavailable("the platform's instance list is malformed: " +
                          Error.displayText());
  }
  return Result;
}

void platform_instance_list::announce(const instance_info &Self) {
  Poco::JSON::Object Row;
  Row.set("name", Self.Name);
  Row.set("zone", Self.Zone);
  Row.set("peer_url", Self.PeerUrl);
  Row.set("http_url", Self.HttpUrl);
  Row.set("leaving", Self.Leaving);
  std::ostringstream Out;
  Row.stringify(Out);
  endpoint_request Request;
  Request.Method = "PUT";
  Request.Path = "/instances";
  Request.Body = Out.str();
  Request.ConnectTimeoutMs = ConnectTimeoutMs;
  Request.ReadTimeoutMs = ResponseTimeoutMs;
  sendToPlatform(Client, Url, Request);
}

} // namespace tamarack::adapters
