#pragma once

#include "Config/ServiceModel.h"

#include <string>
#include <vector>

namespace marigold::config {

/// One difference between two models.
struct ModelChange {
  /// Item that changed, for example "service crew-desk slots" or
  /// "service crew-desk route GET,HEAD /shifts deadline".
  std::string Subject_;
  /// Old value as written in the configuration text; empty when the subject was
  /// added.
  std::string Before_;
  /// New value as written in the configuration text; empty when the subject was
  /// removed.
  std::string After_;

  friend bool operator==(const ModelChange &, const ModelChange &) = default;
};

/// Returns the differences, ordered by name. Both models must be normalized.
std::vector<ModelChange> diffModels(const ServiceModel &Old,
                                    const ServiceModel &New);

/// Formats a change as "+ subject: after", "- subject: before" or
/// "~ subject: before -> after".
std::string toText(const ModelChange &Change);

} // namespace marigold::config
