#include "Config/TextTree.h"
#include "Config/Limits.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/mark.h>
#include <yaml-cpp/parser.h>

#include <algorithm>
#include <sstream>

namespace marigold::config {
namespace {

constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";

/// Thrown to stop the YAML parser after an error has been reported.
struct StopParsing {};

/// Builds the tree from the YAML parser's events. The parser calls the handler
/// before it descends into a list or mapping, so the limits on nesting and size
/// are enforced before memory or stack is used.
class TreeBuilder : public YAML::EventHandler {
public:
  TreeBuilder(std::string_view Text, std::string_view FileName,
              Diagnostics &Out)
      : Text_(Text), FileName_(FileName), Out_(Out) {
    LineStarts_.push_back(0);
    for (std::size_t Offset = 0; Offset < Text.size(); ++Offset)
      if (Text[Offset] == '\n')
        LineStarts_.push_back(Offset + 1);
  }

  void OnDocumentStart(const YAML::Mark &Mark) override {
    if (Root_) {
      report(Mark, ErrorCode::TextSyntax, "the text has a second document",
             "publish one document without further '---' lines");
      throw StopParsing();
    }
  }
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark &Mark, YAML::anchor_t Anchor) override {
    // yaml-cpp gives a missing value the position of the next token, whose
    // anchor or tag does not belong to the value.
    if (Anchor != YAML::NullAnchor)
      reportAlias(Mark);
    add(makeNode(NodeKind::Null, Mark));
  }

  void OnAlias(const YAML::Mark &Mark, YAML::anchor_t) override {
    reportAlias(Mark);
    add(makeNode(NodeKind::Null, Mark));
  }

  void OnScalar(const YAML::Mark &Mark, const std::string &Tag,
                YAML::anchor_t Anchor, const std::string &Value) override {
    checkProperties(Mark, Tag, Anchor);
    TextNode Node = makeNode(NodeKind::Scalar, Mark);
    // yaml-cpp sets the tag "!" on quoted and block scalars.
    Node.Quoted_ = Tag == "!";
    Node.Text_ = Value;
    if (Node.Quoted_ && !isClosed(Mark)) {
      report(Mark, ErrorCode::TextSyntax, "a quote is not closed",
             "add the closing quote");
      throw StopParsing();
    }
    add(std::move(Node));
  }

  void OnSequenceStart(const YAML::Mark &Mark, const std::string &Tag,
                       YAML::anchor_t Anchor,
                       YAML::EmitterStyle::value) override {
    checkProperties(Mark, Tag, Anchor);
    open(NodeKind::List, Mark);
  }
  void OnSequenceEnd() override { close(); }

  void OnMapStart(const YAML::Mark &Mark, const std::string &Tag,
                  YAML::anchor_t Anchor, YAML::EmitterStyle::value) override {
    checkProperties(Mark, Tag, Anchor);
    open(NodeKind::Mapping, Mark);
  }
  void OnMapEnd() override { close(); }

  /// Adds a diagnostic at a position in the text.
  void report(const YAML::Mark &Mark, ErrorCode Code, std::string Message,
              std::string Fix) {
    bool Known = !Mark.is_null();
    Out_.push_back({std::string(FileName_),
                    Known ? static_cast<unsigned>(Mark.line) + 1 : 0,
                    Known ? static_cast<unsigned>(Mark.column) + 1 : 0, Code,
                    std::move(Message), std::move(Fix)});
  }

  void reportAlias(const YAML::Mark &Mark) {
    report(Mark, ErrorCode::TextAlias,
           "an anchor, alias or tag is not accepted",
           "write the value out in each place");
    if (Out_.size() >= MaxDiagnostics)
      throw StopParsing();
  }

  /// Returns true when an anchor, a tag or an alias starts at Mark.
  bool hasProperty(const YAML::Mark &Mark) const {
    std::string_view Rest = textAt(Mark);
    return Rest.starts_with('&') || Rest.starts_with('*') ||
           Rest.starts_with('!');
  }

  /// Returns the tree after the last event, or nothing for an empty text.
  std::optional<TextNode> takeRoot() { return std::move(Root_); }

private:
  /// Returns the text starting at Mark, or an empty string when Mark is
  /// unknown.
  std::string_view textAt(const YAML::Mark &Mark) const {
    if (Mark.is_null() ||
        static_cast<std::size_t>(Mark.line) >= LineStarts_.size())
      return {};
    std::size_t Offset = LineStarts_[static_cast<std::size_t>(Mark.line)] +
                         static_cast<std::size_t>(Mark.column);
    return Text_.substr(std::min(Offset, Text_.size()));
  }

  /// Returns false when a quoted scalar without a closing quote starts at Mark.
  /// yaml-cpp 0.7 ends such a scalar at a line break before the end of the
  /// text, so a truncated text would be accepted.
  bool isClosed(const YAML::Mark &Mark) const {
    std::string_view Rest = textAt(Mark);
    if (!Rest.starts_with('\'') && !Rest.starts_with('"'))
      return true;
    for (std::size_t Offset = 1; Offset < Rest.size(); ++Offset) {
      if (Rest[Offset] == Rest.front())
        return true;
      if (Rest[Offset] == '\\' && Rest.front() == '"')
        ++Offset;
    }
    return false;
  }

  TextNode makeNode(NodeKind Kind, const YAML::Mark &Mark) {
    if (++Count_ > MaxTextNodes) {
      report(Mark, ErrorCode::TooMany,
             "the text has more than " + std::to_string(MaxTextNodes) +
                 " values",
             "shorten the text");
      throw StopParsing();
    }
    TextNode Node;
    Node.Kind_ = Kind;
    Node.Line_ = static_cast<unsigned>(Mark.line) + 1;
    Node.Column_ = static_cast<unsigned>(Mark.column) + 1;
    return Node;
  }

  /// Reports an anchor or tag of a node. The text at Mark is checked because an
  /// explicit tag "!" and a quoted scalar have the same Tag; Mark is the
  /// position of the first anchor or tag.
  void checkProperties(const YAML::Mark &Mark, const std::string &Tag,
                       YAML::anchor_t Anchor) {
    bool Plain = Tag.empty() || Tag == "?" || Tag == "!";
    if (!Plain || Anchor != YAML::NullAnchor || hasProperty(Mark))
      reportAlias(Mark);
  }

  void open(NodeKind Kind, const YAML::Mark &Mark) {
    if (Open_.size() >= MaxNesting) {
      report(Mark, ErrorCode::TextTooDeep,
             "nesting is deeper than " + std::to_string(MaxNesting),
             "remove levels of nesting");
      throw StopParsing();
    }
    Open_.push_back(makeNode(Kind, Mark));
  }

  void close() {
    TextNode Node = std::move(Open_.back());
    Open_.pop_back();
    add(std::move(Node));
  }

  void add(TextNode Node) {
    if (Open_.empty()) {
      Root_ = std::move(Node);
      return;
    }
    TextNode &Parent = Open_.back();
    // A missing value has no position of its own and gets that of its key.
    if (Node.Kind_ == NodeKind::Null && Parent.Kind_ == NodeKind::Mapping &&
        Parent.Children_.size() % 2 == 1) {
      Node.Line_ = Parent.Children_.back().Line_;
      Node.Column_ = Parent.Children_.back().Column_;
    }
    Parent.Children_.push_back(std::move(Node));
  }

  std::string_view Text_;
  std::string_view FileName_;
  Diagnostics &Out_;
  std::vector<std::size_t> LineStarts_;
  std::vector<TextNode> Open_;
  std::optional<TextNode> Root_;
  std::size_t Count_ = 0;
};

/// Converts an offset in the text to a line and column.
YAML::Mark markAt(std::string_view Text, std::size_t Offset) {
  std::string_view Before = Text.substr(0, Offset);
  std::size_t LineStart = Before.rfind('\n') + 1;
  YAML::Mark Mark;
  Mark.pos = static_cast<int>(Offset);
  Mark.line = static_cast<int>(std::ranges::count(Before, '\n'));
  Mark.column = static_cast<int>(Offset - LineStart);
  return Mark;
}

/// Returns the offset of the first bracket that exceeds MaxNesting, or nothing.
/// This check runs before the YAML scanner, which reads a bracketed value to
/// its end before it emits the first event and uses 250 bytes per bracket.
/// Comments are skipped. Brackets within scalars are counted, because no valid
/// scalar contains any.
std::optional<std::size_t> findDeepBracket(std::string_view Text) {
  std::size_t Depth = 0;
  bool Comment = false;
  char Previous = '\n';
  for (std::size_t Offset = 0; Offset < Text.size(); ++Offset) {
    char C = Text[Offset];
    if (C == '\n')
      Comment = false;
    else if (C == '#' &&
             (Previous == ' ' || Previous == '\t' || Previous == '\n'))
      Comment = true;
    else if (!Comment && (C == '[' || C == '{') && ++Depth > MaxNesting)
      return Offset;
    else if (!Comment && (C == ']' || C == '}') && Depth > 0)
      --Depth;
    Previous = C;
  }
  return std::nullopt;
}

/// Returns the offset of the first control character that YAML does not allow.
/// A NUL at the start would also make yaml-cpp decode the text as UTF-16.
std::optional<std::size_t> findControlCharacter(std::string_view Text) {
  auto Position = std::ranges::find_if(Text, [](char C) {
    auto Byte = static_cast<unsigned char>(C);
    return (Byte < 0x20 && C != '\n' && C != '\r' && C != '\t') || Byte == 0x7F;
  });
  if (Position == Text.end())
    return std::nullopt;
  return static_cast<std::size_t>(Position - Text.begin());
}

/// Returns the offset of the first line that is a YAML directive, or nothing.
std::optional<std::size_t> findDirective(std::string_view Text) {
  if (Text.starts_with('%'))
    return 0;
  std::size_t Offset = Text.find("\n%");
  if (Offset == std::string_view::npos)
    return std::nullopt;
  return Offset + 1;
}

/// Performs the checks that must pass before the text is given to the YAML
/// parser.
bool checkBytes(std::string_view Text, TreeBuilder &Builder) {
  if (Text.size() > MaxTextBytes) {
    Builder.report(YAML::Mark::null_mark(), ErrorCode::TextTooLarge,
                   "the text has " + std::to_string(Text.size()) + " bytes",
                   "shorten it to " + std::to_string(MaxTextBytes) + " bytes");
    return false;
  }
  if (auto Offset = findInvalidUtf8(Text)) {
    Builder.report(markAt(Text, *Offset), ErrorCode::TextNotUtf8,
                   "byte " + std::to_string(*Offset) + " is not valid UTF-8",
                   "save the text as UTF-8");
    return false;
  }
  if (auto Offset = findControlCharacter(Text)) {
    Builder.report(markAt(Text, *Offset), ErrorCode::TextSyntax,
                   "a control character is not accepted",
                   "remove the character");
    return false;
  }
  if (auto Offset = findDirective(Text)) {
    Builder.report(markAt(Text, *Offset), ErrorCode::TextSyntax,
                   "a YAML directive is not accepted", "remove the line");
    return false;
  }
  if (auto Offset = findDeepBracket(Text)) {
    Builder.report(markAt(Text, *Offset), ErrorCode::TextTooDeep,
                   "nesting is deeper than " + std::to_string(MaxNesting),
                   "remove levels of nesting");
    return false;
  }
  return true;
}

} // namespace

const TextNode *TextNode::find(std::string_view Key) const {
  if (Kind_ != NodeKind::Mapping)
    return nullptr;
  for (std::size_t Index = 0; Index + 1 < Children_.size(); Index += 2)
    if (Children_[Index].Kind_ == NodeKind::Scalar &&
        Children_[Index].Text_ == Key)
      return &Children_[Index + 1];
  return nullptr;
}

std::optional<TextNode> readTree(std::string_view Text,
                                 std::string_view FileName, Diagnostics &Out) {
  // yaml-cpp skips the byte order mark without counting it as a column.
  if (Text.starts_with(ByteOrderMark))
    Text.remove_prefix(ByteOrderMark.size());
  std::size_t Before = Out.size();
  // The size is checked first because the builder indexes the lines.
  if (Text.size() > MaxTextBytes) {
    TreeBuilder Empty("", FileName, Out);
    checkBytes(Text, Empty);
    return std::nullopt;
  }
  TreeBuilder Builder(Text, FileName, Out);
  if (!checkBytes(Text, Builder))
    return std::nullopt;
  try {
    std::istringstream Input{std::string(Text)};
    YAML::Parser Parser(Input);
    while (Parser.HandleNextDocument(Builder)) {
    }
  } catch (const StopParsing &) {
    return std::nullopt;
  } catch (const YAML::Exception &Error) {
    if (Builder.hasProperty(Error.mark))
      Builder.report(Error.mark, ErrorCode::TextAlias,
                     "an anchor, alias or tag is not accepted",
                     "write the value out in each place");
    else
      Builder.report(Error.mark, ErrorCode::TextSyntax, Error.msg,
                     "correct the YAML syntax at or before this place");
    return std::nullopt;
  }
  auto Root = Builder.takeRoot();
  if (!Root && Out.size() == Before)
    Builder.report(YAML::Mark(), ErrorCode::TextSyntax, "the text is empty",
                   "write epoch, mesh and services");
  return Root;
}

std::optional<std::size_t> findInvalidUtf8(std::string_view Text) {
  std::size_t Offset = 0;
  auto Byte = [&](std::size_t Index) {
    return static_cast<unsigned char>(Text[Index]);
  };
  while (Offset < Text.size()) {
    unsigned char Lead = Byte(Offset);
    std::size_t Length = Lead < 0x80                    ? 1
                         : Lead >= 0xC2 && Lead <= 0xDF ? 2
                         : Lead >= 0xE0 && Lead <= 0xEF ? 3
                         : Lead >= 0xF0 && Lead <= 0xF4 ? 4
                                                        : 0;
    if (Length == 0 || Text.size() - Offset < Length)
      return Offset;
    for (std::size_t Index = 1; Index < Length; ++Index)
      if ((Byte(Offset + Index) & 0xC0) != 0x80)
        return Offset;
    // Overlong encodings, surrogates and code points above U+10FFFF.
    if ((Lead == 0xE0 && Byte(Offset + 1) < 0xA0) ||
        (Lead == 0xED && Byte(Offset + 1) > 0x9F) ||
        (Lead == 0xF0 && Byte(Offset + 1) < 0x90) ||
        (Lead == 0xF4 && Byte(Offset + 1) > 0x8F))
      return Offset;
    Offset += Length;
  }
  return std::nullopt;
}

} // namespace marigold::config
