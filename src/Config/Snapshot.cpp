#include "Config/Snapshot.h"
#include "Config/Validator.h"
#include "Support/Archive.h"
#include "Support/Digest.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>

namespace marigold::config {
namespace {

Digest128 computeDigest(const std::string &Mesh,
                        const std::vector<ServiceEntryPointer> &Services,
                        const std::vector<VirtualHostPointer> &Hosts,
                        const ClientLimits &Limits) {
  std::string Buffer;
  WireOutput Archive(Buffer);
  Archive(Mesh);
  for (const ServiceEntryPointer &Entry : Services)
    Archive(Entry->Digest_);
  for (const VirtualHostPointer &Entry : Hosts)
    Archive(Entry->Digest_);
  if (!(Limits == ClientLimits{}))
    Buffer += encodeBody(Limits);
  return digest128(Buffer);
}

ServiceEntryPointer makeEntry(ServiceConfig Service) {
  Digest128 Digest = serviceDigest(Service);
  return std::make_shared<const ServiceEntry>(
      ServiceEntry{std::move(Service), Digest});
}

std::vector<VirtualHostPointer>
makeHostEntries(std::vector<VirtualHost> Hosts) {
  std::vector<VirtualHostPointer> Entries;
  Entries.reserve(Hosts.size());
  for (VirtualHost &Host : Hosts)
    Entries.push_back(makeHostEntry(std::move(Host)));
  return Entries;
}

int hexValue(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  if (C >= 'a' && C <= 'f')
    return C - 'a' + 10;
  if (C >= 'A' && C <= 'F')
    return C - 'A' + 10;
  return -1;
}

bool isUnreserved(char C) {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9') || C == '-' || C == '.' || C == '_' || C == '~';
}

/// Moves one byte or percent-encoded byte from Path to Segment, decoding it if
/// it is an unreserved character. Returns false when the path is ambiguous.
bool consumePathByte(std::string_view &Path, std::string &Segment) {
  char C = Path.front();
  if (C == '\\' || static_cast<unsigned char>(C) <= 0x20 || C == 0x7F)
    return false;
  if (C != '%') {
    Segment += C;
    Path.remove_prefix(1);
    return true;
  }
  if (Path.size() < 3)
    return false;
  int High = hexValue(Path[1]);
  int Low = hexValue(Path[2]);
  if (High < 0 || Low < 0)
    return false;
  auto Decoded = static_cast<char>(High * 16 + Low);
  if (Decoded == '/' || Decoded == '\\' || Decoded == '\0')
    return false;
  if (isUnreserved(Decoded))
    Segment += Decoded;
  else
    Segment += Path.substr(0, 3);
  Path.remove_prefix(3);
  return true;
}

/// Returns true when Path, a valid route path, is a prefix of the segments.
bool isPrefix(std::string_view Path, const std::vector<std::string> &Segments) {
  if (Path == "/")
    return true;
  for (const std::string &Segment : Segments) {
    Path.remove_prefix(1);
    if (!Path.starts_with(Segment))
      return false;
    Path.remove_prefix(Segment.size());
    if (Path.empty())
      return true;
    if (Path.front() != '/')
      return false;
  }
  return false;
}

} // namespace

Snapshot::Snapshot(ConfigVersion Version, std::string Mesh,
                   std::vector<ServiceEntryPointer> Services,
                   std::vector<VirtualHostPointer> Hosts,
                   const ClientLimits &Limits)
    : Version_(Version), Mesh_(std::move(Mesh)), Services_(std::move(Services)),
      Hosts_(std::move(Hosts)), Limits_(Limits),
      Digest_(computeDigest(Mesh_, Services_, Hosts_, Limits_)) {}

const VirtualHost *Snapshot::findHost(std::string_view Name) const {
  auto Position = std::ranges::lower_bound(
      Hosts_, Name, {}, [](const VirtualHostPointer &Entry) {
        return std::string_view(Entry->Config_.Name_);
      });
  if (Position == Hosts_.end() || (*Position)->Config_.Name_ != Name)
    return nullptr;
  return &(*Position)->Config_;
}

const HostRoute *Snapshot::matchHostRoute(const VirtualHost &Host,
                                          std::string_view Target) {
  std::string_view Path = Target.substr(0, Target.find('?'));
  // Routes are sorted by descending length of the prefix, then by prefix, so
  // the routes of one length are searched at once.
  auto Length = [](const HostRoute &Route) { return Route.Prefix_.size(); };
  auto Prefix = [](const HostRoute &Route) {
    return std::string_view(Route.Prefix_);
  };
  auto Begin = std::ranges::lower_bound(Host.Routes_, Path.size(),
                                        std::ranges::greater(), Length);
  while (Begin != Host.Routes_.end()) {
    std::string_view Start = Path.substr(0, Length(*Begin));
    auto End = std::ranges::upper_bound(Begin, Host.Routes_.end(), Start.size(),
                                        std::ranges::greater(), Length);
    auto Found = std::ranges::lower_bound(Begin, End, Start, {}, Prefix);
    if (Found != End && Found->Prefix_ == Start)
      return &*Found;
    Begin = End;
  }
  return nullptr;
}

const ServiceConfig *Snapshot::findService(std::string_view Name) const {
  auto Position = std::ranges::lower_bound(
      Services_, Name, {}, [](const ServiceEntryPointer &Entry) {
        return std::string_view(Entry->Config_.Name_);
      });
  if (Position == Services_.end() || (*Position)->Config_.Name_ != Name)
    return nullptr;
  return &(*Position)->Config_;
}

Result<const RouteConfig *>
Snapshot::matchRoute(std::string_view Service, std::string_view Method,
                     std::string_view Target) const {
  const ServiceConfig *Found = findService(Service);
  if (Found == nullptr)
    return fail(ErrorCode::UnknownService, std::string(Service));
  BOOST_OUTCOME_TRY(auto Segments, requestSegments(Target));
  // Routes are sorted by descending length, and all matching paths are prefixes
  // of the request's path, so the first match is the longest.
  for (const RouteConfig &Route : Found->Routes_)
    if (std::ranges::binary_search(Route.Methods_, Method) &&
        isPrefix(Route.Path_, Segments))
      return &Route;
  return fail(ErrorCode::NoRoute, std::string(Method));
}

Result<std::vector<std::string>> requestSegments(std::string_view Target) {
  std::string_view Path = Target.substr(0, Target.find('?'));
  if (!Path.starts_with('/') || Path.find('#') != std::string_view::npos)
    return fail(ErrorCode::MalformedRequest, "path does not begin with /");
  std::vector<std::string> Segments;
  while (!Path.empty()) {
    Path.remove_prefix(1);
    // A single trailing slash does not start another segment.
    if (Path.empty())
      break;
    std::string Segment;
    while (!Path.empty() && Path.front() != '/')
      if (!consumePathByte(Path, Segment))
        return fail(ErrorCode::MalformedRequest,
                    "path has an ambiguous character or escape");
    if (Segment.empty() || Segment == "." || Segment == "..")
      return fail(ErrorCode::MalformedRequest,
                  "path has an empty or dot segment");
    Segments.push_back(std::move(Segment));
  }
  return Segments;
}

std::string digestText(const Digest128 &Digest) {
  std::array<char, 33> Buffer{};
  std::snprintf(Buffer.data(), Buffer.size(), "%016" PRIx64 "%016" PRIx64,
                Digest.High_, Digest.Low_);
  return Buffer.data();
}

VirtualHostPointer makeHostEntry(VirtualHost Host) {
  Digest128 Digest = digest128(encodeBody(Host));
  return std::make_shared<const VirtualHostEntry>(
      VirtualHostEntry{std::move(Host), Digest});
}

Digest128 serviceDigest(const ServiceConfig &Service) {
  return digest128(encodeBody(Service));
}

SnapshotPointer buildSnapshot(ServiceModel Model, ConfigVersion Version) {
  normalize(Model);
  std::vector<ServiceEntryPointer> Entries;
  Entries.reserve(Model.Services_.size());
  for (ServiceConfig &Service : Model.Services_)
    Entries.push_back(makeEntry(std::move(Service)));
  return std::make_shared<const Snapshot>(
      Version, std::move(Model.Mesh_), std::move(Entries),
      makeHostEntries(std::move(Model.Hosts_)), Model.Limits_);
}

Result<void> validateSnapshot(const Snapshot &Value) {
  ModelView View{Value.version().Epoch_, Value.mesh(), {}, {}, Value.limits()};
  View.Services_.reserve(Value.services().size());
  for (const ServiceEntryPointer &Entry : Value.services()) {
    if (serviceDigest(Entry->Config_) != Entry->Digest_)
      return fail(ErrorCode::DigestMismatch,
                  "digest of service " + Entry->Config_.Name_);
    View.Services_.push_back(&Entry->Config_);
  }
  View.Hosts_.reserve(Value.hosts().size());
  for (const VirtualHostPointer &Entry : Value.hosts()) {
    if (digest128(encodeBody(Entry->Config_)) != Entry->Digest_)
      return fail(ErrorCode::DigestMismatch,
                  "digest of virtual host " + Entry->Config_.Name_);
    View.Hosts_.push_back(&Entry->Config_);
  }
  if (computeDigest(Value.mesh(), Value.services(), Value.hosts(),
                    Value.limits()) != Value.digest())
    return fail(ErrorCode::DigestMismatch, "digest of the snapshot");
  if (auto Violation = findOrderViolation(View))
    return fail(ErrorCode::SnapshotInvalid, std::move(*Violation));
  std::vector<ModelError> Errors = validateModel(View, rulesFor(View.Epoch_));
  if (!Errors.empty())
    return fail(ErrorCode::SnapshotInvalid,
                std::string(errorText(Errors.front().Code_)) + ": " +
                    Errors.front().Message_);
  return success();
}

ServiceModel toModel(const Snapshot &Value) {
  ServiceModel Model{Value.version().Epoch_, Value.mesh(), {}};
  Model.Limits_ = Value.limits();
  Model.Hosts_.reserve(Value.hosts().size());
  for (const VirtualHostPointer &Entry : Value.hosts())
    Model.Hosts_.push_back(Entry->Config_);
  Model.Services_.reserve(Value.services().size());
  for (const ServiceEntryPointer &Entry : Value.services())
    Model.Services_.push_back(Entry->Config_);
  return Model;
}

SnapshotImage toImage(const Snapshot &Value) {
  SnapshotImage Image;
  Image.Version_ = Value.version();
  Image.Digest_ = Value.digest();
  ServiceModel Model = toModel(Value);
  Image.Mesh_ = std::move(Model.Mesh_);
  Image.Services_ = std::move(Model.Services_);
  Image.Hosts_ = std::move(Model.Hosts_);
  Image.Limits_ = Model.Limits_;
  return Image;
}

Result<SnapshotPointer> fromImage(SnapshotImage Image) {
  std::vector<ServiceEntryPointer> Entries;
  Entries.reserve(Image.Services_.size());
  for (ServiceConfig &Service : Image.Services_)
    Entries.push_back(makeEntry(std::move(Service)));
  auto Built = std::make_shared<const Snapshot>(
      Image.Version_, std::move(Image.Mesh_), std::move(Entries),
      makeHostEntries(std::move(Image.Hosts_)), Image.Limits_);
  if (Built->digest() != Image.Digest_)
    return fail(ErrorCode::DigestMismatch, "digest of the image");
  BOOST_OUTCOME_TRY(validateSnapshot(*Built));
  return Built;
}

} // namespace marigold::config
