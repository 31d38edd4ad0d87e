#include "StandIns/PlatformState.h"

#include <algorithm>
#include <array>
#include <utility>

namespace marigold::standins {
namespace {

constexpr std::array<std::pair<std::string_view, PlatformFault>, 6> FaultNames{
    {{"none", PlatformFault::None},
     {"down", PlatformFault::Down},
     {"stale", PlatformFault::Stale},
     {"crossed", PlatformFault::Crossed},
     {"slow", PlatformFault::Slow},
     {"forget", PlatformFault::Forget}}};

std::string_view trim(std::string_view Text) {
  std::size_t First = Text.find_first_not_of(' ');
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(' ') - First + 1);
}

} // namespace

Result<PlatformFault> parseFault(std::string_view Text) {
  for (const auto &[Name, Value] : FaultNames)
    if (Name == Text)
      return Value;
  return fail(ErrorCode::SettingInvalid,
              "kind: '" + std::string(Text) +
                  "' is not one of none, down, stale, crossed, slow, forget");
}

std::string_view toText(PlatformFault Value) {
  return FaultNames[static_cast<std::size_t>(Value)].first;
}

Result<CatalogFilter> parseFilter(std::string_view Text) {
  std::size_t Operator = Text.find("==");
  std::string_view Field = trim(Text.substr(0, Operator));
  if (Operator == std::string_view::npos || !Field.starts_with("Meta.") ||
      Field.size() == 5)
    return fail(ErrorCode::SettingInvalid,
                "filter: '" + std::string(Text) +
                    "' is not Meta.<field>==<value>");
  std::string_view Value = trim(Text.substr(Operator + 2));
  bool Quoted =
      Value.size() >= 2 && Value.front() == '"' && Value.back() == '"';
  if (Quoted)
    Value = Value.substr(1, Value.size() - 2);
  return CatalogFilter{std::string(Field.substr(5)), std::string(Value)};
}

std::uint64_t PlatformState::publish(const std::string &Key, std::string Text) {
  History &Texts = Texts_[Key];
  Texts.push_back({++Index_, std::move(Text)});
  if (Texts.size() > 2)
    Texts.erase(Texts.begin());
  return Index_;
}

void PlatformState::setHosts(std::vector<CatalogHost> Hosts, TimePoint Now) {
  HostLists_.push_back({Now + HostsLag_, ++Index_, std::move(Hosts)});
}

void PlatformState::setFault(PlatformFault Fault) {
  CrossedReads_ = 0;
  if (Fault != PlatformFault::Forget) {
    Fault_ = Fault;
    if (Fault == PlatformFault::Down)
      ++Generation_;
    return;
  }
  Fault_ = PlatformFault::None;
  ++Generation_;
  Index_ = 0;
  for (auto &[Key, Texts] : Texts_) {
    Texts.erase(Texts.begin(), Texts.end() - 1);
    Texts.front().Index_ = ++Index_;
  }
  HostLists_.erase(HostLists_.begin(), HostLists_.end() - 1);
  HostLists_.front().Index_ = ++Index_;
}

const PublishedText &PlatformState::visible(const History &Texts) const {
  return Fault_ == PlatformFault::Stale ? Texts.front() : Texts.back();
}

std::uint64_t PlatformState::keyIndex(const std::string &Key) const {
  auto Position = Texts_.find(Key);
  return Position == Texts_.end() ? 0 : visible(Position->second).Index_;
}

const PublishedText *PlatformState::read(const std::string &Key) {
  auto Position = Texts_.find(Key);
  if (Position == Texts_.end())
    return nullptr;
  if (Fault_ == PlatformFault::Crossed && ++CrossedReads_ % 2 == 0)
    return &Position->second.front();
  return &visible(Position->second);
}

std::vector<std::string> PlatformState::keys(std::string_view Prefix) const {
  std::vector<std::string> Found;
  for (const auto &[Key, Texts] : Texts_)
    if (Key.starts_with(Prefix))
      Found.push_back(Key);
  return Found;
}

std::uint64_t PlatformState::prefixIndex(std::string_view Prefix) const {
  std::uint64_t Highest = 0;
  for (const auto &[Key, Texts] : Texts_)
    if (Key.starts_with(Prefix))
      Highest = std::max(Highest, visible(Texts).Index_);
  return Highest;
}

const PlatformState::HostList &PlatformState::visibleHosts(TimePoint Now) {
  while (HostLists_.size() > 1 && HostLists_[1].VisibleAt_ <= Now)
    HostLists_.erase(HostLists_.begin());
  return HostLists_.front();
}

std::vector<CatalogHost>
PlatformState::hosts(const std::optional<CatalogFilter> &Filter,
                     TimePoint Now) {
  const auto &All = visibleHosts(Now).Hosts_;
  if (!Filter)
    return All;
  std::vector<CatalogHost> Found;
  for (const CatalogHost &Host : All) {
    auto Field = Host.Meta_.find(Filter->Field_);
    if (Field != Host.Meta_.end() && Field->second == Filter->Value_)
      Found.push_back(Host);
  }
  return Found;
}

std::uint64_t PlatformState::hostsIndex(TimePoint Now) {
  return visibleHosts(Now).Index_;
}

} // namespace marigold::standins
