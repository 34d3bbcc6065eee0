//! `request`: one question to a service.

use crate::client::{Answer, Headers};
use crate::exit::Exit;
use crate::options::Request;
use crate::print::Context;
use http_body_util::BodyExt;
use protocol::chat::{self, Chunk, Completion, DONE};
use protocol::header;
use std::io::Write;

/// Asks, and prints the answer.
///
/// # Errors
///
/// The refusal, or an answer that broke off.
pub async fn run(context: &Context, args: Request) -> anyhow::Result<Exit> {
    let mut request = chat::Request::user(&args.service, &args.prompt);
    request.stream = args.stream;
    request.max_tokens = args.max_tokens;
    let body = serde_json::to_vec(&request)?.into();
    let path = "/v1/chat/completions";
    let headers = headers(&args);
    if args.stream {
        let response = context.client.open("POST", path, &headers, body).await?;
        return print_stream(response).await;
    }
    let answer = context.client.call("POST", path, &headers, body).await?;
    let completion: Completion = answer.read()?;
    if context.json {
        println!("{}", serde_json::to_string_pretty(&completion)?);
    } else {
        let text = completion.choices.first().map(|choice| choice.message.content.as_str());
        println!("{}", text.unwrap_or_default());
    }
    Ok(Exit::Done)
}

fn headers(args: &Request) -> Headers {
    let mut headers = Headers::new();
    if let Some(key) = &args.key {
        headers.push((header::IDEMPOTENCY_KEY, key.clone()));
        headers.push((header::KEY_ISSUED_AT, crate::job::millis().to_string()));
    }
    if args.once {
        headers.push((header::REPEATABLE, "false".into()));
    }
    if let Some(millis) = args.deadline_ms {
        headers.push((header::DEADLINE_MS, millis.to_string()));
    }
    headers
}

async fn print_stream(response: hyper::Response<hyper::body::Incoming>) -> anyhow::Result<Exit> {
    let status = response.status().as_u16();
    let headers = response.headers().clone();
    let mut body = response.into_body();
    let mut buffer = String::new();
    let mut done = false;
    let mut all = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame?;
        let Some(bytes) = frame.data_ref() else {
            continue;
        };
        all.extend_from_slice(bytes);
        buffer.push_str(&String::from_utf8_lossy(bytes));
        while let Some(end) = buffer.find("\n\n") {
            let event: String = buffer.drain(..end + 2).collect();
            done |= print_event(&event)?;
        }
    }
    println!();
    Answer { status, headers, body: all.into() }.check()?;
    anyhow::ensure!(done, "the answer broke off");
    Ok(Exit::Done)
}

/// Prints one event; `true` when it closes the answer.
fn print_event(event: &str) -> anyhow::Result<bool> {
    let data = event.trim().strip_prefix("data:").unwrap_or_default().trim();
    if data == DONE {
        return Ok(true);
    }
    match serde_json::from_str::<Chunk>(data) {
        Ok(chunk) => {
            let content = chunk.choices.into_iter().next().and_then(|choice| choice.delta.content);
            print!("{}", content.unwrap_or_default());
            std::io::stdout().flush()?;
            Ok(false)
        }
        Err(_) => {
            let body: protocol::error::Body = serde_json::from_str(data)?;
            Err(crate::client::Refused { detail: body.error }.into())
        }
    }
}
