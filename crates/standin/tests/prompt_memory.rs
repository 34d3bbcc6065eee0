//! The stand-in engine keeps the parts of prompts that it read, up to its memory.

use standin::prompt_memory::{PromptMemory, Tokens};

/// Guards against an engine that keeps more than its memory, or the wrong parts.
#[test]
fn parts_unused_longest_are_evicted() {
    let mut memory = PromptMemory::default();
    let mut read = |prompt: &str| memory.read("m", prompt, 300);
    assert_eq!(read("a:100,x:10"), 110);
    assert_eq!(read("a:100,y:10"), 10);
    assert_eq!(read("b:100,x:10"), 110, "a part after other parts is another one");
    assert_eq!(read("a:100,z:10"), 10);
    assert_eq!(read("c:100,z:10"), 110);
    assert_eq!(read("a:100,u:10"), 10);
    assert_eq!(read("b:100,u:10"), 110, "evicted for c");
    assert_eq!(memory.read("n", "a:100", 300), 100, "kept for another model");
    assert_eq!(memory.tokens(), Tokens { read: 570, found: 300 });
}
