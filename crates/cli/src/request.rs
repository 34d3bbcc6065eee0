//! `request`: sends one chat request to a service.

use crate::client::{BufferedResponse, Headers};
use crate::exit::Exit;
use crate::options::Request;
use crate::print::Context;
use http_body_util::BodyExt;
use protocol::chat::{self, Chunk, Completion, DONE};
use protocol::header;
use std::io::Write;

/// Sends the request and prints the response.
///
/// # Errors
///
/// An error of the request, or a truncated response.
pub async fn run(context: &Context, args: Request) -> anyhow::Result<Exit> {
    let mut request = chat::Request::user(&args.service, &args.prompt);
    request.stream = args.stream;
    request.max_tokens = args.max_tokens;
    let body = serde_json::to_vec(&request)?.into();
    let path = "/v1/chat/completions";
    let headers = headers(&args);
    if args.stream {
        let response = context.client.send("POST", path, &headers, body).await?;
        return print_stream(response).await;
    }
    let response = context.client.call("POST", path, &headers, body).await?;
    let completion: Completion = response.json()?;
    if context.json {
        println!("{}", serde_json::to_string_pretty(&completion)?);
    } else {
        let text = completion.choices.first().map(|choice| choice.message.content.as_str());
        println!("{}", text.unwrap_or_default());
    }
    Ok(Exit::Success)
}

fn headers(args: &Request) -> Headers {
    let mut headers = Headers::new();
    if let Some(key) = &args.key {
        headers.push((header::IDEMPOTENCY_KEY, key.clone()));
        headers.push((header::KEY_ISSUED_AT, crate::job::unix_millis().to_string()));
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
    let mut pending = String::new();
    let mut is_complete = false;
    let mut received = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame?;
        let Some(bytes) = frame.data_ref() else {
            continue;
        };
        received.extend_from_slice(bytes);
        pending.push_str(&String::from_utf8_lossy(bytes));
        while let Some(end) = pending.find("\n\n") {
            let event: String = pending.drain(..end + 2).collect();
            is_complete |= print_event(&event)?;
        }
    }
    println!();
    BufferedResponse { status, headers, body: received.into() }.check()?;
    anyhow::ensure!(is_complete, "the response was truncated");
    Ok(Exit::Success)
}

/// Prints one event; returns `true` if it ends the response.
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
            Err(crate::client::ApiError { detail: body.error }.into())
        }
    }
}
