#include "Config/Diagnostic.h"

namespace marigold::config {

std::string toText(const Diagnostic &Value) {
  std::string Text = Value.File_;
  Text += ":" + std::to_string(Value.Line_);
  Text += ":" + std::to_string(Value.Column_);
  Text += ": " + std::string(errorText(Value.Code_));
  Text += ": " + Value.Message_;
  if (!Value.Fix_.empty())
    Text += "; fix: " + Value.Fix_;
  return Text;
}

std::string quoteText(std::string_view Text) {
  constexpr std::size_t Longest = 80;
  bool Cut = Text.size() > Longest;
  if (Cut) {
    std::size_t End = Longest;
    // Truncates at a character boundary, not within a UTF-8 sequence.
    while (End > 0 && (static_cast<unsigned char>(Text[End]) & 0xC0) == 0x80)
      --End;
    Text = Text.substr(0, End);
  }
  std::string Quoted = "'";
  for (char C : Text)
    Quoted += static_cast<unsigned char>(C) < 0x20 || C == 0x7F ? '?' : C;
  return Quoted + (Cut ? "...'" : "'");
}

} // namespace marigold::config
