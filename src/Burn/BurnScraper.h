#pragma once

#include "Burn/BurnCalculator.h"
#include "Schema/SettingTypes.h"
#include "Support/Clock.h"

#include <map>
#include <vector>

namespace marigold::burn {

/// Reads /status and /metrics of nodes. The nodes of the settings name the
/// others; a node that was seen once stays in the list until it is listed as
/// dead or gone, so that a silent node shows as missing data.
class BurnScraper {
public:
  explicit BurnScraper(std::vector<Address> Nodes);

  /// One round: asks all known nodes and blocks for at most Timeout for each.
  std::vector<NodeSample> scrape(Duration Timeout);

private:
  struct KnownNode {
    std::string FailureDomain_;
    bool Configured_ = false;
  };

  void updateNodes(Duration Timeout);

  std::map<Address, KnownNode> Nodes_;
};

} // namespace marigold::burn
